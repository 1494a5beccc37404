#pragma once

#include <cstdint>
#include <optional>

#include <httplib.h>

#include "base/Time.h"

namespace boragepitch::net {

/** Bounds of one call, kept by the client for its duration. */
struct CallBounds
{
  std::optional<base::TimePoint> deadline;
  uint64_t bodyBytes = 0; ///< Handed to the caller so far.
  bool hasTimedOut = false;
  bool isEndless = false; ///< Too many bytes came that are no body.
};

/**
 * The library's client with a time limit for whole calls and a bound on what a server sends beside
 * the body: its own reader of heads and chunk lines goes on for as long as bytes arrive.
 */
class BoundedClient final : public httplib::ClientImpl
{
public:
  BoundedClient(const std::string& aHost,
                int aPort,
                base::Milliseconds aReadTimeout,
                base::Milliseconds aWriteTimeout);

  CallBounds bounds; ///< Of the present call.

private:
  bool process_socket(const Socket& aSocket,
                      std::function<bool(httplib::Stream&)> aCallback) override;

  const base::Milliseconds mReadTimeout;
  const base::Milliseconds mWriteTimeout;
};

} // namespace boragepitch::net
