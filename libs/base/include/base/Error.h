#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace boragepitch::base {

/** The kinds of failure that callers tell apart. */
enum class ErrorKind
{
  Invalid,        ///< The input is wrong; repeating it cannot succeed.
  Unauthorized,   ///< No valid key came with the request.
  NotFound,       ///< The named thing does not exist.
  Conflict,       ///< Another writer changed the row first.
  TooLarge,       ///< The input exceeds a documented limit.
  Unavailable,    ///< Nothing was done; the same call may succeed later.
  Timeout,        ///< No answer in time; what was done is not known.
  UnknownOutcome, ///< The call was sent and its answer was lost.
  Corrupt,        ///< Bytes do not match their digest.
  Cancelled,      ///< The caller gave up.
  Internal,       ///< A fault of this process.
};

/** Stable text form of a kind, as used in the resource API ("invalid", "notFound", ...). */
std::string_view toString(ErrorKind aKind);

/** A failure with the field it concerns and what to do about it. */
struct Error
{
  ErrorKind kind = ErrorKind::Internal;
  std::string field;                         ///< Field, key or address concerned; may be empty.
  std::string message;                       ///< What is wrong.
  std::string remedy;                        ///< What to do about it.
  std::chrono::milliseconds retryAfter{ 0 }; ///< When to come back; 0 when not applicable.

  /** One line: "kind field: message; remedy". */
  std::string describe() const;
};

/** True when the failed call certainly had no effect. */
bool isSafeToRepeat(const Error& aError);

template<typename T>
using Result = tl::expected<T, Error>;

using Status = Result<void>;

tl::unexpected<Error> fail(ErrorKind aKind,
                           std::string aField,
                           std::string aMessage,
                           std::string aRemedy);

} // namespace boragepitch::base
