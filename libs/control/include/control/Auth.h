#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/Error.h"
#include "base/Time.h"
#include "rpc/Rpc.h"

namespace boragepitch::control {

/**
 * Authenticates messages between processes of the fleet with HMAC-SHA-256 (docs/design.md,
 * section 6.6). Header: "keyId sender epoch counter mac". The MAC also covers the receiver and the
 * body. Each sender numbers its messages. A receiver accepts each counter value once and rejects
 * values 1,024 or more below the highest one; it rejects a sender epoch (the sender's start time in
 * microseconds) lower than the highest one seen. Thread-safe; memory is bounded by maxSenders.
 */
class HmacAuthenticator : public rpc::Authenticator
{
public:
  class Builder
  {
  public:
    /** Adds an accepted key of at least 16 bytes. An id is 1 to 32 characters of [A-Za-z0-9_-]. */
    Builder& key(std::string aId, std::string aSecret);
    /** Id of the key used to sign; default: the only key. */
    Builder& signingKey(std::string aId);
    /** Id of this process; must not contain spaces. */
    Builder& sender(std::string aSender);
    /** Must increase with each process start; default: wall-clock time in microseconds. */
    Builder& epoch(uint64_t aEpoch);
    /** Maximum number of senders tracked for replay checks (default 8,192). */
    Builder& maxSenders(size_t aCount);
    base::Result<std::unique_ptr<HmacAuthenticator>> build();

  private:
    friend class HmacAuthenticator;
    std::map<std::string, std::string> mKeys;
    std::string mSigningKey;
    std::string mSender;
    uint64_t mEpoch = 0;
    size_t mMaxSenders = 8192;
  };
};

} // namespace boragepitch::control
