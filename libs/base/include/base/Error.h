#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace boragepitch::base {

/** Kinds of failure that callers handle differently. */
enum class ErrorKind
{
  Invalid,        ///< The input is wrong; a retry cannot succeed.
  Unauthorized,   ///< No valid key came with the request.
  NotFound,       ///< The named thing does not exist.
  Conflict,       ///< Another writer changed the row first.
  TooLarge,       ///< The input exceeds a documented limit.
  Unavailable,    ///< Nothing was done; the same call may succeed later.
  Timeout,        ///< No answer within the time limit; the call may have taken effect.
  UnknownOutcome, ///< The call was sent but its answer was lost; it may have taken effect.
  Corrupt,        ///< Bytes do not match their digest.
  Cancelled,      ///< The caller cancelled the call.
  Internal,       ///< This process failed.
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
  std::chrono::milliseconds retryAfter{ 0 }; ///< Delay before a retry; 0 when not applicable.

  /** One line: "kind field: message; remedy". */
  std::string describe() const;
};

/** True when the failed call is known to have had no effect. */
bool isSafeToRepeat(const Error& aError);

template<typename T>
using Result = tl::expected<T, Error>;

using Status = Result<void>;

tl::unexpected<Error> fail(ErrorKind aKind,
                           std::string aField,
                           std::string aMessage,
                           std::string aRemedy);

} // namespace boragepitch::base
