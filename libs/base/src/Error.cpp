#include "base/Error.h"

namespace boragepitch::base {

std::string_view toString(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::Invalid:
      return "invalid";
    case ErrorKind::Unauthorized:
      return "unauthorized";
    case ErrorKind::NotFound:
      return "notFound";
    case ErrorKind::Conflict:
      return "conflict";
    case ErrorKind::TooLarge:
      return "tooLarge";
    case ErrorKind::Unavailable:
      return "unavailable";
    case ErrorKind::Timeout:
      return "timeout";
    case ErrorKind::UnknownOutcome:
      return "unknownOutcome";
    case ErrorKind::Corrupt:
      return "corrupt";
    case ErrorKind::Cancelled:
      return "cancelled";
    case ErrorKind::Internal:
      return "internal";
  }
  return "internal";
}

std::string Error::describe() const
{
  std::string text{ toString(kind) };
  if (!field.empty()) {
    text += " " + field;
  }
  text += ": " + message;
  if (!remedy.empty()) {
    text += "; " + remedy;
  }
  return text;
}

bool isSafeToRepeat(const Error& aError)
{
  return aError.kind != ErrorKind::Timeout && aError.kind != ErrorKind::UnknownOutcome;
}

tl::unexpected<Error> fail(ErrorKind aKind,
                           std::string aField,
                           std::string aMessage,
                           std::string aRemedy)
{
  Error error;
  error.kind = aKind;
  error.field = std::move(aField);
  error.message = std::move(aMessage);
  error.remedy = std::move(aRemedy);
  return tl::make_unexpected(std::move(error));
}

} // namespace boragepitch::base
