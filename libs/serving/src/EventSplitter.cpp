#include "serving/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace boragepitch::serving {

namespace {

constexpr std::string_view kIdField = "id:";

/** Removes the first line and its end from the text and returns it without its end. Lines end with
 * \n, \r\n or \r. */
std::string_view takeLine(std::string_view& aText)
{
  size_t end = std::min(aText.find_first_of("\r\n"), aText.size());
  std::string_view line = aText.substr(0, end);
  aText.remove_prefix(
    std::min(end + (aText.substr(end).starts_with("\r\n") ? 2 : 1), aText.size()));
  return line;
}

std::optional<uint64_t> idOf(std::string_view aEvent)
{
  while (!aEvent.empty()) {
    std::string_view line = takeLine(aEvent);
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
  }
  return std::nullopt;
}

/** False for text of comments and empty lines only. */
bool containsField(std::string_view aText)
{
  while (!aText.empty()) {
    std::string_view line = takeLine(aText);
    if (!line.empty() && line.front() != ':') {
      return true;
    }
  }
  return false;
}

} // namespace

void EventSplitter::feed(std::string_view aBytes)
{
  if (mStart > 0) {
    mBuffer.erase(0, mStart);
    mLineStart -= mStart;
    mScanned -= std::min(mScanned, mStart);
    mStart = 0;
  }
  mBuffer.append(aBytes);
}

std::optional<StreamEvent> EventSplitter::next()
{
  // An event ends at an empty line.
  for (;;) {
    size_t end = mBuffer.find_first_of("\r\n", std::max(mLineStart, mScanned));
    if (end == std::string::npos) {
      mScanned = mBuffer.size();
      return std::nullopt;
    }
    mScanned = end;
    bool isEmpty = end == mLineStart;
    bool endsWithCr = mBuffer[end] == '\r';
    if (endsWithCr && end + 1 == mBuffer.size()) {
      // The next byte may belong to the line end. After a line that ended with \r alone it does
      // not: the event is not held until the next one begins.
      bool isCrOnly = isEmpty && mLineStart > mStart && mBuffer[mLineStart - 1] == '\r';
      if (!isCrOnly) {
        return std::nullopt;
      }
    }
    mLineStart = end + 1;
    if (endsWithCr && mLineStart < mBuffer.size() && mBuffer[mLineStart] == '\n') {
      ++mLineStart;
    }
    if (isEmpty) {
      std::string_view text(mBuffer.data() + mStart, mLineStart - mStart);
      mStart = mLineStart;
      return StreamEvent{ text, idOf(text), containsField(text) };
    }
  }
}

bool EventSplitter::isInsideEvent() const
{
  std::string_view text = pending();
  return !text.empty() && (containsField(text) || (text.back() != '\n' && text.back() != '\r'));
}

void EventSplitter::restart()
{
  mBuffer = {};
  mStart = 0;
  mLineStart = 0;
  mScanned = 0;
}

} // namespace boragepitch::serving
