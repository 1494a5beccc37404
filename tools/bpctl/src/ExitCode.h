#pragma once

#include "base/Error.h"

namespace boragepitch::bpctl {

/** Exit codes of bpctl; docs/operators.md explains them. */
enum class ExitCode
{
  Done = 0,
  Invalid = 1,        ///< Invalid input, or refused by the server; a retry cannot succeed.
  Usage = 2,          ///< Invalid command line.
  NotFound = 3,       ///< The named resource does not exist.
  Conflict = 4,       ///< Another writer changed the resource first.
  Unauthorized = 5,   ///< No valid operator key.
  Unavailable = 6,    ///< No server accepted the call; nothing was written.
  UnknownOutcome = 7, ///< The response to a write was lost.
  TimedOut = 8,       ///< `wait` reached its timeout.
};

inline ExitCode exitCodeOf(base::ErrorKind aKind)
{
  switch (aKind) {
    case base::ErrorKind::NotFound:
      return ExitCode::NotFound;
    case base::ErrorKind::Conflict:
      return ExitCode::Conflict;
    case base::ErrorKind::Unauthorized:
      return ExitCode::Unauthorized;
    case base::ErrorKind::UnknownOutcome:
      return ExitCode::UnknownOutcome;
    case base::ErrorKind::Timeout:
      return ExitCode::TimedOut;
    case base::ErrorKind::Unavailable:
    case base::ErrorKind::Cancelled:
    case base::ErrorKind::Internal:
      return ExitCode::Unavailable;
    default:
      return ExitCode::Invalid;
  }
}

} // namespace boragepitch::bpctl
