#pragma once

#include <cstdint>
#include <optional>

#include <httplib.h>

#include "base/Time.h"

namespace boragepitch::net {

/** State of the call in progress. */
struct CallState
{
  std::optional<base::TimePoint> deadline;
  uint64_t bytesDue = 0;  ///< Body bytes with which a limit of progress moves the deadline.
  uint64_t bodyBytes = 0; ///< Body bytes passed to the caller so far.
  bool hasHead = false;   ///< The final head has been parsed; the body follows.
  bool hasTimedOut = false;
  bool hasExcessOverhead = false; ///< Head and chunk framing exceed their limit.
};

/**
 * httplib client with a time limit for whole calls and a limit on head and chunk framing. httplib
 * by itself reads heads and chunk lines for as long as bytes arrive. Reason phrases do not reach
 * httplib: it matches a status line by recursion, and a long one exceeds the stack.
 */
class BoundedClient final : public httplib::ClientImpl
{
public:
  BoundedClient(const std::string& aHost,
                int aPort,
                base::Milliseconds aReadTimeout,
                base::Milliseconds aWriteTimeout);

  CallState callState; ///< Of the call in progress.

private:
  bool process_socket(const Socket& aSocket,
                      std::function<bool(httplib::Stream&)> aCallback) override;

  const base::Milliseconds mReadTimeout;
  const base::Milliseconds mWriteTimeout;
};

} // namespace boragepitch::net
