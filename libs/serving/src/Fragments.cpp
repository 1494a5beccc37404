#include "serving/Fragments.h"

#include <algorithm>
#include <charconv>

namespace boragepitch::serving {

namespace {

/** First byte of a fragment; messages are JSON objects. Then "<id> <index> <count>\n". */
constexpr char kFragmentMark = '#';
constexpr size_t kMaxHeaderBytes = 48;
constexpr size_t kPayloadBytes = kMaxDatagramBytes - kMaxHeaderBytes;
constexpr size_t kMaxFragments = (kMaxMessageBytes + kPayloadBytes - 1) / kPayloadBytes;
/** Memory of a fragment beside its bytes. */
constexpr size_t kOverheadBytes = 64;

struct Fragment
{
  uint64_t id = 0;
  size_t index = 0;
  size_t count = 0;
  std::string_view payload;
};

std::optional<Fragment> parse(std::string_view aDatagram)
{
  size_t end = aDatagram.substr(0, kMaxHeaderBytes).find('\n');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  Fragment fragment;
  const char* at = aDatagram.data() + 1;
  const char* last = aDatagram.data() + end;
  auto read = [&](auto& aNumber) {
    auto [next, error] = std::from_chars(at, last, aNumber);
    bool isRead = error == std::errc() && (next == last || *next == ' ');
    at = next == last ? next : next + 1;
    return isRead;
  };
  if (!read(fragment.id) || !read(fragment.index) || !read(fragment.count) || at != last ||
      fragment.index >= fragment.count || fragment.count > kMaxFragments) {
    return std::nullopt;
  }
  fragment.payload = aDatagram.substr(end + 1);
  return fragment.payload.empty() ? std::nullopt : std::optional(fragment);
}

} // namespace

std::vector<std::string> split(std::string_view aMessage, uint64_t aId)
{
  if (aMessage.size() <= kMaxDatagramBytes) {
    return { std::string(aMessage) };
  }
  std::vector<std::string> datagrams;
  if (aMessage.size() > kMaxMessageBytes) {
    return datagrams;
  }
  size_t count = (aMessage.size() + kPayloadBytes - 1) / kPayloadBytes;
  for (size_t index = 0; index < count; ++index) {
    std::string datagram(1, kFragmentMark);
    datagram += std::to_string(aId) + " " + std::to_string(index) + " " + std::to_string(count);
    datagram += '\n';
    datagram += aMessage.substr(index * kPayloadBytes, kPayloadBytes);
    datagrams.push_back(std::move(datagram));
  }
  return datagrams;
}

std::optional<std::string> MessageAssembler::add(std::string_view aDatagram,
                                                 std::string_view aSender,
                                                 base::TimePoint aNow)
{
  if (!aDatagram.starts_with(kFragmentMark)) {
    return std::string(aDatagram);
  }
  auto fragment = parse(aDatagram);
  if (!fragment) {
    return std::nullopt;
  }
  for (auto entry = mPartials.begin(); entry != mPartials.end();) {
    auto next = std::next(entry);
    if (aNow - entry->second.startedAt > base::Duration(mLimits.age)) {
      drop(entry);
    }
    entry = next;
  }
  Key key(aSender, fragment->id);
  auto found = mPartials.find(key);
  if (found == mPartials.end()) {
    size_t overhead = fragment->count * kOverheadBytes;
    found =
      mPartials
        .emplace(
          std::move(key),
          Partial{ std::vector<std::string>(fragment->count), fragment->count, overhead, aNow })
        .first;
    mBytes += overhead;
  }
  Partial& partial = found->second;
  if (partial.fragments.size() != fragment->count || !partial.fragments[fragment->index].empty()) {
    return std::nullopt;
  }
  partial.fragments[fragment->index] = fragment->payload;
  partial.bytes += fragment->payload.size();
  mBytes += fragment->payload.size();
  if (--partial.missing == 0) {
    std::string message;
    for (const std::string& part : partial.fragments) {
      message += part;
    }
    drop(found);
    return message;
  }
  while (mBytes > mLimits.bytes) {
    drop(std::min_element(mPartials.begin(), mPartials.end(), [](const auto& aA, const auto& aB) {
      return aA.second.startedAt < aB.second.startedAt;
    }));
  }
  return std::nullopt;
}

void MessageAssembler::drop(std::map<Key, Partial>::iterator aPartial)
{
  mBytes -= aPartial->second.bytes;
  mPartials.erase(aPartial);
}

} // namespace boragepitch::serving
