#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace boragepitch::load {

struct SseEvent
{
  std::string id;
  std::string event;
  std::string data;
};

/** Splits a stream of bytes into server-sent events; an unfinished event at the end is not
 * reported.
 */
class SseReader
{
public:
  void feed(std::string_view aBytes, const std::function<void(const SseEvent&)>& aOnEvent)
  {
    mBuffer.append(aBytes);
    size_t begin = 0;
    for (size_t end = mBuffer.find('\n'); end != std::string::npos;
         end = mBuffer.find('\n', begin)) {
      takeLine(std::string_view(mBuffer).substr(begin, end - begin), aOnEvent);
      begin = end + 1;
    }
    mBuffer.erase(0, begin);
  }

private:
  void takeLine(std::string_view aLine, const std::function<void(const SseEvent&)>& aOnEvent)
  {
    if (aLine.ends_with('\r')) {
      aLine.remove_suffix(1);
    }
    if (aLine.empty()) {
      if (mHasFields) {
        aOnEvent(mEvent);
      }
      mEvent = {};
      mHasFields = false;
      return;
    }
    size_t colon = aLine.find(':');
    if (colon == 0 || colon == std::string_view::npos) {
      return;
    }
    std::string_view value = aLine.substr(colon + 1);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    std::string_view name = aLine.substr(0, colon);
    mHasFields = true;
    if (name == "id") {
      mEvent.id = value;
    } else if (name == "event") {
      mEvent.event = value;
    } else if (name == "data") {
      mEvent.data += value;
    }
  }

  std::string mBuffer;
  SseEvent mEvent;
  bool mHasFields = false;
};

} // namespace boragepitch::load
