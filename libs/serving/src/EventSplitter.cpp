#include "serving/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace boragepitch::serving {

namespace {

constexpr std::string_view kIdField = "id:";

std::optional<uint64_t> idOf(std::string_view aEvent)
{
  size_t start = 0;
  while (start < aEvent.size()) {
    size_t end = aEvent.find('\n', start);
    if (end == std::string_view::npos) {
      end = aEvent.size();
    }
    std::string_view line = aEvent.substr(start, end - start);
    if (line.starts_with(kIdField)) {
      line.remove_prefix(kIdField.size());
      while (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
      }
      uint64_t id = 0;
      auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
      if (error == std::errc() && rest != line.data()) {
        return id;
      }
    }
    start = end + 1;
  }
  return std::nullopt;
}

} // namespace

void EventSplitter::feed(std::string_view aBytes)
{
  if (mStart > 0) {
    mBuffer.erase(0, mStart);
    mSearchStart -= mStart;
    mStart = 0;
  }
  mBuffer.append(aBytes);
}

std::optional<StreamEvent> EventSplitter::next()
{
  // An event ends at an empty line; lines end with \n or \r\n.
  size_t at = mSearchStart;
  for (;;) {
    at = mBuffer.find('\n', at);
    if (at == std::string::npos) {
      // The terminator may be split over two reads: search its first bytes again.
      mSearchStart = std::max(mStart, mBuffer.size() < 3 ? 0 : mBuffer.size() - 3);
      return std::nullopt;
    }
    size_t after = at + 1;
    if (after < mBuffer.size() && mBuffer[after] == '\r') {
      ++after;
    }
    if (after < mBuffer.size() && mBuffer[after] == '\n') {
      std::string_view text(mBuffer.data() + mStart, after + 1 - mStart);
      mStart = after + 1;
      mSearchStart = mStart;
      return StreamEvent{ text, idOf(text) };
    }
    ++at;
  }
}

void EventSplitter::restart()
{
  mBuffer.clear();
  mStart = 0;
  mSearchStart = 0;
}

} // namespace boragepitch::serving
