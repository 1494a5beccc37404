#pragma once

#include <string_view>
#include <vector>

#include "base/Time.h"

namespace boragepitch::serving {

/** Number of a send of a request; later sends have higher numbers. */
using SourceId = int;

struct AnswerLimits
{
  base::Duration firstPartTimeout{ 0 }; ///< Silence after which a send without an answer is late.
  base::Duration nextPartTimeout{ 0 };  ///< The same after a part of the answer.
  bool mayRepeat = false;               ///< More than one endpoint may run the request.
  int maxAttempts = 1;                  ///< Endpoints that may run it; applies if it may repeat.
};

/** Why no further endpoint is asked for the answer. */
enum class SendObstacle
{
  None,
  TooManySends,
  NoTime,   ///< Too little of the caller's time is left.
  Attempts, ///< As many endpoints may have run the request as are allowed to.
};

std::string_view toString(SendObstacle aObstacle);

/**
 * The endpoints that may still give the answer to one request, and which of them the caller is
 * given: the current one. The others stand by; what they answer is held back.
 *
 * Silence ends no source. While all of them are silent another one may be asked, and the first that
 * delivers becomes the current one. So the only source of an answer is never given up for one that
 * may fail. A source ends when it has failed or may not be used any more, when another one has
 * delivered, and with the request. Knows no connections; not thread-safe.
 */
class AnswerSources
{
public:
  /** Maximum sends of one request, including those that an endpoint rejected. */
  static constexpr int kMaxSends = 4;

  void setLimits(AnswerLimits aLimits) { mLimits = aLimits; }

  /** Records a send. The first one is the current one, and one after which no other is left. */
  SourceId add(base::TimePoint aNow);
  /** Records that a source brought a part of the answer that the caller does not have. It becomes
   * the current one.
   * @returns the other sources, which the caller of this function ends. */
  std::vector<SourceId> deliver(SourceId aSource, base::TimePoint aNow);
  /** Records that the current source was not read before this time, so that it was not silent. */
  void resume(base::TimePoint aNow);
  /** Records that a source has ended without the whole answer.
   * @param aMayHaveRun its endpoint may have run the request. */
  void end(SourceId aSource, bool aMayHaveRun);

  bool isEmpty() const { return mSources.empty(); }
  /** The source whose answer the caller is given; after its end the oldest one that is left. Only
   * valid if there is one. */
  SourceId current() const { return mSources.front().id; }
  /** Whether there is a source and each has been silent for longer than its timeout. */
  bool areAllSilent(base::TimePoint aNow) const;
  /** Whether the current source has been silent for longer than its timeout. */
  bool isCurrentSilent(base::TimePoint aNow) const;
  /** Why no further endpoint may be asked, whatever endpoints there are. */
  SendObstacle obstacleToSend(base::TimePoint aDeadline, base::TimePoint aNow) const;
  /** The same if the current source ended without having run the request. */
  SendObstacle obstacleToReplaceCurrent(base::TimePoint aDeadline, base::TimePoint aNow) const;

  int sends() const { return mSends; }
  /** Ended sources whose endpoint may have run the request. */
  int endedRuns() const { return mEndedRuns; }
  /** The same and those that have not ended. */
  int possibleRuns() const { return mEndedRuns + static_cast<int>(mSources.size()); }

private:
  struct Source
  {
    SourceId id = 0;
    base::TimePoint progressAt; ///< Time of the send or of the latest new part of the answer.
    bool hasDelivered = false;
  };

  bool isSilent(const Source& aSource, base::TimePoint aNow) const;
  SendObstacle obstacleAfter(int aRuns, base::TimePoint aDeadline, base::TimePoint aNow) const;

  AnswerLimits mLimits;
  std::vector<Source> mSources; ///< The current one, then the others, oldest first.
  int mSends = 0;
  int mEndedRuns = 0;
};

} // namespace boragepitch::serving
