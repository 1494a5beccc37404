#include "load/Checker.h"

#include <algorithm>
#include <charconv>

#include "base/Json.h"
#include "common/TokenFunction.h"

namespace boragepitch::load {

std::string_view toString(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::Refused:
      return "refused";
    case Outcome::Failed:
      return "failed";
    case Outcome::Unreachable:
      return "unreachable";
    case Outcome::Lost:
      return "lost";
    case Outcome::Cut:
      return "cut";
    case Outcome::Doubled:
      return "doubled";
    case Outcome::Mixed:
      return "mixed";
    case Outcome::Wrong:
      return "wrong";
  }
  return "";
}

Checker::Checker(const std::vector<ExpectedVersion>& aExpected,
                 std::string_view aPrompt,
                 int64_t aMaxTokens)
  : mExpected(aExpected)
  , mPrompt(aPrompt)
  , mMaxTokens(aMaxTokens)
  , mPossible(aExpected.size(), true)
{
}

bool Checker::onEvent(const SseEvent& aEvent)
{
  if (aEvent.event.empty() || aEvent.event == "message") {
    return onToken(aEvent);
  }
  if (aEvent.event == "done") {
    onDone(aEvent);
  }
  return false;
}

bool Checker::onToken(const SseEvent& aEvent)
{
  int64_t id = -1;
  std::from_chars(aEvent.id.data(), aEvent.id.data() + aEvent.id.size(), id);
  auto data = base::parseJson(aEvent.data);
  if (id < 0 || id > mNext || id >= mMaxTokens || !data) {
    mWrong = true;
    return true;
  }
  if (id < mNext || mDone) {
    mDoubled = true;
    return true;
  }
  checkToken(base::stringOr(*data, "token"));
  ++mNext;
  return true;
}

void Checker::checkToken(const std::string& aToken)
{
  if (mExpected.empty()) {
    return;
  }
  bool known = false;
  for (size_t i = 0; i < mExpected.size(); ++i) {
    bool matches = aToken == standin::tokenAt(mExpected[i].sha256, mPrompt, uint64_t(mNext));
    known = known || matches;
    mPossible[i] = mPossible[i] && matches;
  }
  mWrong = mWrong || !known;
  mMixed = mMixed || std::find(mPossible.begin(), mPossible.end(), true) == mPossible.end();
}

void Checker::onDone(const SseEvent& aEvent)
{
  mDoubled = mDoubled || mDone;
  mDone = true;
  auto data = base::parseJson(aEvent.data);
  if (!data || base::intOr(*data, "tokens", -1) != mMaxTokens || mNext != mMaxTokens) {
    mWrong = true;
    return;
  }
  std::string version = base::stringOr(*data, "version");
  for (size_t i = 0; i < mExpected.size(); ++i) {
    // The version that the end event names must be the one that generated the tokens.
    mWrong = mWrong || (mExpected[i].version == version && !mPossible[i] && !mMixed);
  }
}

Outcome Checker::outcome() const
{
  if (mWrong) {
    return Outcome::Wrong;
  }
  if (mMixed) {
    return Outcome::Mixed;
  }
  if (mDoubled) {
    return Outcome::Doubled;
  }
  return mDone ? Outcome::Answered : Outcome::Cut;
}

} // namespace boragepitch::load
