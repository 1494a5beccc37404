#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "load/SseReader.h"

namespace boragepitch::load {

/** A version that responses may come from, and the SHA-256 (hex) of its whole weights. */
struct ExpectedVersion
{
  std::string version;
  std::string sha256;
};

/** Outcome of one request. */
enum class Outcome
{
  Answered,    ///< Complete and every token right.
  Refused,     ///< An error response that says that the request was not run.
  Failed,      ///< Another error response.
  Unreachable, ///< No connection was made, so nothing was sent.
  Lost,        ///< Sent, but no response arrived.
  Cut,         ///< The stream ended early.
  Doubled,     ///< A token or the end came more than once.
  Mixed,       ///< Tokens of several versions in one response.
  Wrong,       ///< A token that no expected version gives, or a missing one.
};
constexpr size_t kOutcomes = 9;
std::string_view toString(Outcome aOutcome);

/** Checks one streamed response, event by event. */
class Checker
{
public:
  /** @param aExpected versions that may answer, all tokens of a response by the same one; empty to
   * check the order only. The vector and the prompt must outlive the checker. */
  Checker(const std::vector<ExpectedVersion>& aExpected,
          std::string_view aPrompt,
          int64_t aMaxTokens);

  /** Returns true when the event is a token. */
  bool onEvent(const SseEvent& aEvent);
  /** The outcome at the end of the stream. */
  Outcome outcome() const;

private:
  bool onToken(const SseEvent& aEvent);
  void checkToken(const std::string& aToken);
  void onDone(const SseEvent& aEvent);

  const std::vector<ExpectedVersion>& mExpected;
  const std::string_view mPrompt;
  const int64_t mMaxTokens;
  int64_t mNext = 0;
  std::vector<bool> mPossible; ///< Versions that match every token so far.
  bool mDone = false;
  bool mDoubled = false;
  bool mMixed = false;
  bool mWrong = false;
};

} // namespace boragepitch::load
