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
 * Authenticates messages between own processes with HMAC-SHA-256 (docs/design.md, section 6.6).
 * Header: "keyId sender epoch counter mac". The MAC covers the receiver and the body. Each sender
 * counts its messages; a receiver accepts a counter once, within a window of 1,024 behind the
 * highest one, and a sender epoch (its start time, microseconds) only if none higher was seen.
 * Thread-safe; memory is bounded by maxSenders.
 */
class HmacAuthenticator : public rpc::Authenticator
{
public:
  class Builder
  {
  public:
    /** Adds a key that is accepted. Ids are 1 to 32 of [A-Za-z0-9_-]; at least 16 bytes of key. */
    Builder& key(std::string aId, std::string aSecret);
    /** Id of the key that signs; default: the only key. */
    Builder& signingKey(std::string aId);
    /** Id of this process; without blanks. */
    Builder& sender(std::string aSender);
    /** Rises with each start of the process; default: the wall clock in microseconds. */
    Builder& epoch(uint64_t aEpoch);
    /** Senders remembered for replay checks (default 8,192). */
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
