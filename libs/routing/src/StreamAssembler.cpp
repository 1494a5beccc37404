#include "routing/StreamAssembler.h"

#include <algorithm>
#include <charconv>
#include <optional>

namespace boragepitch::routing {

namespace {

/** Value of a field of an event, such as "id"; empty when the event does not have it. */
std::string_view fieldValue(std::string_view aEvent, std::string_view aField)
{
  size_t begin = 0;
  while (begin < aEvent.size()) {
    size_t end = std::min(aEvent.find('\n', begin), aEvent.size());
    std::string_view line = aEvent.substr(begin, end - begin);
    if (line.starts_with(aField) && line.substr(aField.size()).starts_with(':')) {
      line.remove_prefix(aField.size() + 1);
      return line.starts_with(' ') ? line.substr(1) : line;
    }
    begin = end + 1;
  }
  return {};
}

std::optional<uint64_t> parseId(std::string_view aText)
{
  uint64_t id = 0;
  auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), id);
  if (aText.empty() || error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return id;
}

/** Member "tokens" of the done event's JSON. Searched for as text, since a full JSON parse would
 * cost more than the rest of the processing. */
std::optional<uint64_t> tokenCount(std::string_view aData)
{
  static constexpr std::string_view kMember = "\"tokens\":";
  size_t found = aData.find(kMember);
  if (found == std::string_view::npos) {
    return std::nullopt;
  }
  aData.remove_prefix(found + kMember.size());
  aData.remove_prefix(std::min(aData.find_first_not_of(' '), aData.size()));
  return parseId(aData.substr(0, aData.find_first_not_of("0123456789")));
}

} // namespace

StreamAssembler::StreamAssembler(size_t aMaxEventBytes)
  : mMaxEventBytes(aMaxEventBytes)
{
}

StreamFault StreamAssembler::beginAttempt(std::string_view aExpectedRequest,
                                          std::string_view aRequest,
                                          std::string_view aExpectedAttempt,
                                          std::string_view aAttempt,
                                          std::string_view aManifest)
{
  mBuffer.clear();
  mAttemptManifest.clear();
  if (aExpectedRequest != aRequest || aExpectedAttempt != aAttempt || aManifest.empty()) {
    return StreamFault::Foreign;
  }
  if (!mManifest.empty() && mManifest != aManifest) {
    return StreamFault::Foreign;
  }
  mAttemptManifest = aManifest;
  return StreamFault::None;
}

StreamFault StreamAssembler::feed(std::string_view aBytes, const Sink& aSink)
{
  if (mAttemptManifest.empty()) {
    return StreamFault::Foreign;
  }
  mBuffer.append(aBytes);
  size_t begin = 0;
  StreamFault fault = StreamFault::None;
  while (fault == StreamFault::None && !mSinkClosed) {
    size_t end = mBuffer.find("\n\n", begin);
    if (end == std::string::npos) {
      break;
    }
    fault = handleEvent(std::string_view(mBuffer).substr(begin, end + 2 - begin), aSink);
    begin = end + 2;
  }
  mBuffer.erase(0, begin);
  if (fault == StreamFault::None && mBuffer.size() > mMaxEventBytes) {
    return StreamFault::Malformed;
  }
  return fault;
}

StreamFault StreamAssembler::handleEvent(std::string_view aEvent, const Sink& aSink)
{
  if (mDone || aEvent.size() > mMaxEventBytes) {
    return StreamFault::Malformed;
  }
  std::string_view type = fieldValue(aEvent, "event");
  if (type == "error") {
    mRefusal = fieldValue(aEvent, "data");
    return StreamFault::Refused;
  }
  if (type == "done") {
    // The token count reveals missing events at the end of the stream.
    if (tokenCount(fieldValue(aEvent, "data")) != mNextEvent) {
      return StreamFault::Gap;
    }
    mDone = true;
    return passOn(aEvent, aSink);
  }
  // Comments only keep the connection alive and are not passed on.
  if (aEvent.starts_with(':')) {
    return StreamFault::None;
  }
  auto id = parseId(fieldValue(aEvent, "id"));
  if (!id) {
    return StreamFault::Malformed;
  }
  if (*id < mNextEvent) {
    ++mDuplicates;
    return StreamFault::None;
  }
  if (*id > mNextEvent) {
    return StreamFault::Gap;
  }
  ++mNextEvent;
  return passOn(aEvent, aSink);
}

StreamFault StreamAssembler::passOn(std::string_view aEvent, const Sink& aSink)
{
  mManifest = mAttemptManifest;
  mSinkClosed = !aSink(aEvent);
  return StreamFault::None;
}

} // namespace boragepitch::routing
