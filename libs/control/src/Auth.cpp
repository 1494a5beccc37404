#include "control/Auth.h"

#include <algorithm>
#include <atomic>
#include <bitset>
#include <cctype>
#include <charconv>
#include <chrono>
#include <list>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "base/Digest.h"

namespace boragepitch::control {

namespace {

using base::ErrorKind;

constexpr size_t kMinSecretBytes = 16;
constexpr size_t kMaxIdBytes = 32;
constexpr size_t kMaxSenderBytes = 128;
constexpr size_t kMaxHeaderBytes = 512;
// Concurrent messages arrive out of order; a counter may be this far below the highest one.
constexpr uint64_t kReplayWindow = 1024;

tl::unexpected<base::Error> unauthorized(std::string aMessage, std::string aRemedy)
{
  return base::fail(ErrorKind::Unauthorized, "X-BP-Auth", std::move(aMessage), std::move(aRemedy));
}

struct Header
{
  std::string keyId;
  std::string sender;
  uint64_t epoch = 0;
  uint64_t counter = 0;
  base::Digest mac{};
};

std::optional<uint64_t> parseNumber(std::string_view aText)
{
  uint64_t number = 0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  bool isComplete = error == std::errc() && end == aText.data() + aText.size();
  return isComplete ? std::optional(number) : std::nullopt;
}

std::optional<Header> parseHeader(std::string_view aText)
{
  if (aText.size() > kMaxHeaderBytes) {
    return std::nullopt;
  }
  std::vector<std::string_view> parts;
  while (parts.size() < 5) {
    size_t space = aText.find(' ');
    parts.push_back(aText.substr(0, space));
    if (space == std::string_view::npos) {
      break;
    }
    aText.remove_prefix(space + 1);
  }
  if (parts.size() != 5) {
    return std::nullopt;
  }
  auto epoch = parseNumber(parts[2]);
  auto counter = parseNumber(parts[3]);
  auto mac = base::digestFromHex(parts[4]);
  if (!epoch || !counter || !mac || parts[1].empty() || parts[1].size() > kMaxSenderBytes) {
    return std::nullopt;
  }
  return Header{ std::string(parts[0]), std::string(parts[1]), *epoch, *counter, *mac };
}

/** Tracks which counters of one sender were already accepted. */
class ReplayWindow
{
public:
  /** True the first time that an (epoch, counter) inside the window is seen. */
  bool accept(uint64_t aEpoch, uint64_t aCounter)
  {
    if (aEpoch < mEpoch) {
      return false;
    }
    if (aEpoch > mEpoch) {
      mEpoch = aEpoch;
      mHighestCounter = 0;
      mSeen.reset();
    }
    if (aCounter > mHighestCounter) {
      advanceTo(aCounter);
    } else if (mHighestCounter - aCounter >= kReplayWindow || mSeen[aCounter % kReplayWindow]) {
      return false;
    }
    mSeen.set(aCounter % kReplayWindow);
    return true;
  }

  uint64_t epoch() const { return mEpoch; }

private:
  void advanceTo(uint64_t aCounter)
  {
    uint64_t steps = std::min(aCounter - mHighestCounter, kReplayWindow);
    for (uint64_t i = 0; i < steps; ++i) {
      mSeen.reset((aCounter - i) % kReplayWindow);
    }
    mHighestCounter = aCounter;
  }

  uint64_t mEpoch = 0;
  uint64_t mHighestCounter = 0;
  std::bitset<kReplayWindow> mSeen;
};

/**
 * Replay windows of the most recently active senders. An unknown sender is accepted only if its
 * epoch is higher than every evicted sender's, so that messages of an evicted sender cannot be
 * replayed.
 */
class ReplayGuard
{
public:
  explicit ReplayGuard(size_t aMaxSenders)
    : mMaxSenders(std::max<size_t>(1, aMaxSenders))
  {
  }

  bool accept(const Header& aHeader)
  {
    std::lock_guard lock(mMutex);
    auto found = mIndex.find(aHeader.sender);
    if (found == mIndex.end()) {
      if (aHeader.epoch <= mHighestEvictedEpoch) {
        return false;
      }
      found = insert(aHeader.sender);
    }
    mWindows.splice(mWindows.begin(), mWindows, found->second);
    return found->second->second.accept(aHeader.epoch, aHeader.counter);
  }

private:
  using Windows = std::list<std::pair<std::string, ReplayWindow>>;
  using Index = std::unordered_map<std::string, Windows::iterator>;

  Index::iterator insert(const std::string& aSender)
  {
    if (mWindows.size() >= mMaxSenders) {
      mHighestEvictedEpoch = std::max(mHighestEvictedEpoch, mWindows.back().second.epoch());
      mIndex.erase(mWindows.back().first);
      mWindows.pop_back();
    }
    mWindows.emplace_front(aSender, ReplayWindow());
    return mIndex.emplace(aSender, mWindows.begin()).first;
  }

  const size_t mMaxSenders;
  std::mutex mMutex; ///< Guards the members below.
  Windows mWindows;  ///< Most recently active first.
  Index mIndex;
  uint64_t mHighestEvictedEpoch = 0;
};

class HmacAuthenticatorImpl final : public HmacAuthenticator
{
public:
  HmacAuthenticatorImpl(std::map<std::string, std::string> aKeys,
                        std::string aSigningKey,
                        std::string aSender,
                        uint64_t aEpoch,
                        size_t aMaxSenders)
    : mKeys(std::move(aKeys))
    , mSigningKey(std::move(aSigningKey))
    , mSender(std::move(aSender))
    , mEpoch(aEpoch)
    , mReplayGuard(aMaxSenders)
  {
  }

  std::string sign(std::string_view aReceiver, std::string_view aBody) override
  {
    Header header{ mSigningKey, mSender, mEpoch, ++mCounter, {} };
    base::Digest code = mac(mKeys.at(mSigningKey), header, aReceiver, aBody);
    return prefix(header) + " " + base::toHex(code);
  }

  base::Status verify(std::string_view aHeader,
                      std::string_view aReceiver,
                      std::string_view aBody) override
  {
    auto header = parseHeader(aHeader);
    if (!header) {
      return unauthorized("missing or malformed",
                          "send messages through the rpc library with a key");
    }
    auto key = mKeys.find(header->keyId);
    if (key == mKeys.end()) {
      return unauthorized("unknown key id", "add the key to the section [keys] of this process");
    }
    if (!base::equalConstantTime(mac(key->second, *header, aReceiver, aBody), header->mac)) {
      return unauthorized("wrong MAC",
                          "give both processes the same key, and peers the right address");
    }
    if (!mReplayGuard.accept(*header)) {
      return unauthorized("message repeated or too old", "send each message once");
    }
    return {};
  }

private:
  static std::string prefix(const Header& aHeader)
  {
    return aHeader.keyId + " " + aHeader.sender + " " + std::to_string(aHeader.epoch) + " " +
           std::to_string(aHeader.counter);
  }

  /** Fields before the body contain no line break, so different messages have different input. */
  static base::Digest mac(const std::string& aKey,
                          const Header& aHeader,
                          std::string_view aReceiver,
                          std::string_view aBody)
  {
    std::string text = prefix(aHeader) + "\n" + std::string(aReceiver) + "\n";
    text += aBody;
    return base::hmacSha256(base::asBytes(aKey), base::asBytes(text));
  }

  const std::map<std::string, std::string> mKeys;
  const std::string mSigningKey;
  const std::string mSender;
  const uint64_t mEpoch;
  std::atomic<uint64_t> mCounter{ 0 };
  ReplayGuard mReplayGuard;
};

bool isKeyId(const std::string& aId)
{
  auto allowed = [](unsigned char aChar) {
    return std::isalnum(aChar) != 0 || aChar == '_' || aChar == '-';
  };
  return !aId.empty() && aId.size() <= kMaxIdBytes && std::all_of(aId.begin(), aId.end(), allowed);
}

uint64_t wallClockMicroseconds()
{
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

HmacAuthenticator::Builder& HmacAuthenticator::Builder::key(std::string aId, std::string aSecret)
{
  mKeys[std::move(aId)] = std::move(aSecret);
  return *this;
}

HmacAuthenticator::Builder& HmacAuthenticator::Builder::signingKey(std::string aId)
{
  mSigningKey = std::move(aId);
  return *this;
}

HmacAuthenticator::Builder& HmacAuthenticator::Builder::sender(std::string aSender)
{
  mSender = std::move(aSender);
  return *this;
}

HmacAuthenticator::Builder& HmacAuthenticator::Builder::epoch(uint64_t aEpoch)
{
  mEpoch = aEpoch;
  return *this;
}

HmacAuthenticator::Builder& HmacAuthenticator::Builder::maxSenders(size_t aCount)
{
  mMaxSenders = aCount;
  return *this;
}

base::Result<std::unique_ptr<HmacAuthenticator>> HmacAuthenticator::Builder::build()
{
  for (const auto& [id, secret] : mKeys) {
    if (!isKeyId(id) || secret.size() < kMinSecretBytes) {
      return base::fail(ErrorKind::Invalid,
                        "keys." + id,
                        "the id or the key is invalid",
                        "use an id of 1 to 32 of [A-Za-z0-9_-] and a key of at least 16 bytes");
    }
  }
  std::string signingId =
    mSigningKey.empty() && mKeys.size() == 1 ? mKeys.begin()->first : mSigningKey;
  if (mKeys.count(signingId) == 0) {
    return base::fail(ErrorKind::Invalid,
                      "keys",
                      "the signing key is not among the keys",
                      "name one of the configured ids as the signing key");
  }
  bool hasSpace = mSender.find_first_of(" \r\n") != std::string::npos;
  if (mSender.empty() || mSender.size() > kMaxSenderBytes || hasSpace) {
    return base::fail(ErrorKind::Invalid,
                      "sender",
                      "the process id is empty, too long or contains a space",
                      "use 1 to 128 characters without spaces");
  }
  uint64_t epoch = mEpoch != 0 ? mEpoch : wallClockMicroseconds();
  return std::unique_ptr<HmacAuthenticator>(
    new HmacAuthenticatorImpl(mKeys, signingId, mSender, epoch, mMaxSenders));
}

} // namespace boragepitch::control
