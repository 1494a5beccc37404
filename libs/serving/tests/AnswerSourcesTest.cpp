#define BOOST_TEST_MODULE serving_answer_sources
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <vector>

#include "serving/AnswerSources.h"

using namespace boragepitch;
using namespace boragepitch::serving;
using namespace std::chrono_literals;

namespace {

const base::TimePoint kStart{ 100s };
constexpr base::Milliseconds kFirstPart = 1200ms;
constexpr base::Milliseconds kNextPart = 1000ms;
constexpr base::Milliseconds kTick = 100ms;
constexpr base::Milliseconds kTimeout = 6000ms;

AnswerSources sourcesOf(int aMaxAttempts, bool aMayRepeat = true)
{
  AnswerSources sources;
  sources.setLimits({ .firstPartTimeout = kFirstPart,
                      .nextPartTimeout = kNextPart,
                      .mayRepeat = aMayRepeat,
                      .maxAttempts = aMaxAttempts });
  return sources;
}

enum class Behaviour
{
  GoesOn,
  Rejects, ///< Did not run the request.
  Fails,   ///< Refuses after it may have run the request, or breaks off.
  StaysSilent,
};
constexpr std::array kBehaviours = { Behaviour::GoesOn,
                                     Behaviour::Rejects,
                                     Behaviour::Fails,
                                     Behaviour::StaysSilent };
/** Before and after one and two further endpoints were asked. */
constexpr std::array<base::Milliseconds, 4> kDelays = { 0ms, 500ms, 1700ms, 3100ms };

struct Script
{
  Behaviour behaviour = Behaviour::StaysSilent;
  base::Milliseconds after{ 0 }; ///< Since the send.
};

std::vector<Script> allScripts()
{
  std::vector<Script> scripts;
  for (Behaviour behaviour : kBehaviours) {
    for (base::Milliseconds delay : kDelays) {
      scripts.push_back({ behaviour, delay });
    }
  }
  return scripts;
}

/** Plays a request whose endpoints follow scripts, in the order in which they are asked. */
struct Play
{
  struct Sent
  {
    SourceId id = 0;
    base::TimePoint at;
    Script script;
  };

  Play(std::vector<Script> aScripts, int aMaxAttempts)
    : scripts(std::move(aScripts))
    , maxAttempts(aMaxAttempts)
    , sources(sourcesOf(aMaxAttempts))
  {
  }

  void run()
  {
    send();
    if (hasBegun) {
      BOOST_REQUIRE(sources.deliver(live[0].id, now).empty());
    }
    for (; now - kStart < kTimeout && !isServed && !isLost; now += kTick) {
      for (const Sent& sent : std::vector(live)) {
        if (!isServed && now - sent.at >= base::Duration(sent.script.after)) {
          act(sent);
        }
      }
      if (!isServed && live.empty()) {
        isLost = !trySend();
      } else if (!isServed && sources.areAllSilent(now)) {
        trySend();
      }
      check();
    }
  }

  void act(const Sent& aSent)
  {
    switch (aSent.script.behaviour) {
      case Behaviour::GoesOn: {
        auto others = sources.deliver(aSent.id, now);
        BOOST_REQUIRE(others.size() == live.size() - 1);
        BOOST_REQUIRE(std::ranges::find(others, aSent.id) == others.end());
        BOOST_REQUIRE(sources.current() == aSent.id);
        isServed = true;
        break;
      }
      case Behaviour::Rejects:
        end(aSent, false);
        break;
      case Behaviour::Fails:
        end(aSent, true);
        ++failedRuns;
        break;
      case Behaviour::StaysSilent:
        break;
    }
  }

  void end(const Sent& aSent, bool aMayHaveRun)
  {
    sources.end(aSent.id, aMayHaveRun);
    std::erase_if(live, [&](const Sent& aOther) { return aOther.id == aSent.id; });
  }

  bool trySend()
  {
    if (asked >= scripts.size() ||
        sources.obstacleToSend(kStart + kTimeout, now) != SendObstacle::None) {
      return false;
    }
    send();
    return true;
  }

  void send() { live.push_back({ sources.add(now), now, scripts[asked++] }); }

  void check()
  {
    BOOST_REQUIRE(sources.isEmpty() == live.empty());
    BOOST_REQUIRE(sources.endedRuns() == failedRuns);
    BOOST_REQUIRE(sources.possibleRuns() <= std::max(1, maxAttempts));
    BOOST_REQUIRE(sources.sends() <= AnswerSources::kMaxSends);
    if (!live.empty()) {
      auto isCurrent = [&](const Sent& aSent) { return aSent.id == sources.current(); };
      BOOST_REQUIRE(std::ranges::any_of(live, isCurrent));
    }
  }

  std::vector<Script> scripts;
  int maxAttempts;
  bool hasBegun = true;
  AnswerSources sources;
  base::TimePoint now = kStart;
  std::vector<Sent> live;
  size_t asked = 0;
  int failedRuns = 0;
  bool isServed = false;
  bool isLost = false;
};

} // namespace

// Guards against an answer that is lost although an endpoint that was asked for it goes on, in
// every order in which three endpoints fall silent, reject, fail and go on (LOST), and against more
// runs than the route allows.
BOOST_AUTO_TEST_CASE(aSourceThatGoesOnIsNeverGivenUp)
{
  auto scripts = allScripts();
  size_t plays = 0;
  size_t lost = 0;
  for (int maxAttempts : { 1, 2, 3 }) {
    for (bool hasBegun : { true, false }) {
      for (const Script& first : scripts) {
        for (const Script& second : scripts) {
          for (const Script& third : scripts) {
            Play play({ first, second, third }, maxAttempts);
            play.hasBegun = hasBegun;
            play.run();
            ++plays;
            lost += play.isLost ? 1 : 0;
            bool goesOn = std::ranges::any_of(play.live, [&](const auto& aSent) {
              return aSent.script.behaviour == Behaviour::GoesOn &&
                     aSent.at + base::Duration(aSent.script.after) < play.now;
            });
            BOOST_REQUIRE(!goesOn || play.isServed);
            BOOST_REQUIRE(!play.isLost || play.live.empty());
            if (first.behaviour == Behaviour::GoesOn) {
              BOOST_REQUIRE(play.isServed);
            }
          }
        }
      }
    }
  }
  BOOST_TEST(plays == 3U * 2 * 16 * 16 * 16);
  BOOST_TEST(lost > 0U); // Those in which all endpoints fail.
}

// Guards against an endpoint that is asked while another one is not late yet, and against one that
// is not asked while all are.
BOOST_AUTO_TEST_CASE(anotherIsDueWhenAllAreSilent)
{
  auto sources = sourcesOf(3);
  auto first = sources.add(kStart);
  BOOST_TEST(!sources.areAllSilent(kStart + kFirstPart));
  BOOST_TEST(sources.areAllSilent(kStart + kFirstPart + 1ms));
  sources.deliver(first, kStart + 100ms);
  BOOST_TEST(!sources.areAllSilent(kStart + 100ms + kNextPart));
  BOOST_TEST(sources.areAllSilent(kStart + 101ms + kNextPart));
  auto second = sources.add(kStart + 1200ms);
  BOOST_TEST(!sources.areAllSilent(kStart + 1200ms + kFirstPart));
  BOOST_TEST(sources.isCurrentSilent(kStart + 1200ms));
  BOOST_TEST(sources.areAllSilent(kStart + 1201ms + kFirstPart));
  BOOST_TEST(sources.current() == first);
  sources.end(first, true);
  BOOST_TEST(sources.current() == second);
}

// Guards against a stream that is continued elsewhere because its caller did not read.
BOOST_AUTO_TEST_CASE(anUnreadSourceIsNotSilent)
{
  auto sources = sourcesOf(2);
  sources.deliver(sources.add(kStart), kStart);
  sources.resume(kStart + 5s);
  BOOST_TEST(!sources.areAllSilent(kStart + 5s + kNextPart));
  BOOST_TEST(sources.areAllSilent(kStart + 5001ms + kNextPart));
}

// Guards against attempts that are spent on endpoints which did not run the request, against a
// second run of a request that may run only once (TWICE), and against sends without end.
BOOST_AUTO_TEST_CASE(whatCountsAsAnAttempt)
{
  auto deadline = kStart + kTimeout;
  auto sources = sourcesOf(2);
  sources.end(sources.add(kStart), false);
  BOOST_TEST((sources.obstacleToSend(deadline, kStart) == SendObstacle::None));
  sources.end(sources.add(kStart), true);
  BOOST_TEST((sources.obstacleToSend(deadline, kStart) == SendObstacle::None));
  auto third = sources.add(kStart);
  BOOST_TEST((sources.obstacleToSend(deadline, kStart) == SendObstacle::Attempts));
  BOOST_TEST((sources.obstacleToReplaceCurrent(deadline, kStart) == SendObstacle::None));
  BOOST_TEST((sources.obstacleToReplaceCurrent(deadline, deadline - 59ms) == SendObstacle::NoTime));
  sources.end(third, false);
  sources.end(sources.add(kStart), false);
  BOOST_TEST((sources.obstacleToSend(deadline, kStart) == SendObstacle::TooManySends));

  auto once = sourcesOf(3, false);
  auto only = once.add(kStart);
  BOOST_TEST((once.obstacleToSend(deadline, kStart) == SendObstacle::Attempts));
  once.end(only, false);
  BOOST_TEST((once.obstacleToSend(deadline, kStart) == SendObstacle::None));
}
