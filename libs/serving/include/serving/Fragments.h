#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"

namespace boragepitch::serving {

/** Bytes of a message, whole or reassembled; longer ones are not sent. */
inline constexpr size_t kMaxMessageBytes = 128 << 10;
/** Bytes of a datagram: one that fits into two packets of a usual network is seldom lost. */
inline constexpr size_t kMaxDatagramBytes = 2048;

/**
 * Splits a message into datagrams of at most kMaxDatagramBytes. One that fits is sent as it is.
 * @param aId tells apart the messages of one sender.
 * @return nothing for a message over kMaxMessageBytes.
 */
std::vector<std::string> split(std::string_view aMessage, uint64_t aId);

struct AssemblerLimits
{
  /** Bytes of all incomplete messages; beyond it the oldest is dropped. */
  size_t bytes = 1 << 20;
  /** An incomplete message is dropped after this time. The copies of one message are sent together.
   */
  base::Milliseconds age{ 5000 };
};

/** Joins the datagrams of split(). Memory is bounded. Not thread-safe. */
class MessageAssembler
{
public:
  explicit MessageAssembler(AssemblerLimits aLimits = {})
    : mLimits(aLimits)
  {
  }

  /** Returns the message that the datagram is or completes. Further copies of a completed message
   * are joined again.
   * @param aSender address of the sender. */
  std::optional<std::string> add(std::string_view aDatagram,
                                 std::string_view aSender,
                                 base::TimePoint aNow);
  size_t bytes() const { return mBytes; }

private:
  struct Partial
  {
    std::vector<std::string> fragments; ///< Empty where missing.
    size_t missing = 0;
    size_t bytes = 0;
    base::TimePoint startedAt;
  };
  using Key = std::pair<std::string, uint64_t>; ///< Sender and message.

  void drop(std::map<Key, Partial>::iterator aPartial);

  const AssemblerLimits mLimits;
  std::map<Key, Partial> mPartials;
  size_t mBytes = 0;
};

} // namespace boragepitch::serving
