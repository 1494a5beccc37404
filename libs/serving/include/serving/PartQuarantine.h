#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/Time.h"
#include "serving/CrashSuspects.h"

namespace boragepitch::serving {

/** Identifies a part of a prompt; the same at all processes. */
using PromptPart = uint64_t;

struct PartQuarantineOptions
{
  /** Crashes of different endpoints after which a part is quarantined. Fewer may be coincidence:
   * endpoints also crash by chance, or many at once. */
  size_t crashes = 3;
  /** The same for a part that was proved harmless within proofMemory and stands beside one whose
   * last proof is older, or beside one that crashed endpoints once less than needed. With few sound
   * requests none may come between the crashes. Counts the crashes before a quarantine together
   * with other parts, too. */
  size_t crashesIfProved = 8;
  /** Different requests with the part that these crashes must have hit: a single one may just have
   * been resent to endpoints that crashed by chance. */
  size_t requests = 2;
  /** Crashes after which a part is quarantined whatever it stands beside, if its first ones left
   * open which part caused them. */
  size_t crashesIfUnclear = 5;
  /** Endpoints that failed at the same time without a part from which on their failure explains the
   * crashes of the others. One may be due to another crashing part. */
  size_t unrelatedFailures = 2;
  /** Failures at most this far apart count as simultaneous. Entries notice the failure of one
   * endpoint within some 100 ms of each other, and datagrams take a few more. */
  base::Milliseconds simultaneous{ 300 };
  /** An endpoint that failed without a part this shortly before is unstable, whatever it runs. */
  base::Milliseconds instability{ 3000 };
  /** Delay of a quarantine while other endpoints fail, too. Sound requests that are sent meanwhile
   * get past their beginning and end it before it stops any. */
  base::Milliseconds confirmation{ 600 };
  /** Crashes that lie further back do not count. */
  base::Milliseconds memory{ 60000 };
  /** Duration of the first quarantine of a part; doubles with each further one. Sound requests that
   * contain a wrongly quarantined part are served again after it. */
  base::Milliseconds duration{ 60000 };
  base::Milliseconds maxDuration{ 600000 };
  /** After a quarantine one request at a time is let through, for this long or until it got past
   * its beginning: without a crash meanwhile, the next one may go. */
  base::Milliseconds trialDuration{ 2000 };
  /** Time for which a proof keeps a part out of crash reports. */
  base::Milliseconds proofValidity{ 1500 };
  /** Time for which a proof is remembered: against the quarantine of another process, and to tell
   * the parts of a request apart. */
  base::Milliseconds proofMemory{ 10000 };
  /** Parts whose crashes and proofs are remembered; about 10 MB. */
  size_t maxParts = 65536;
  size_t maxQuarantines = 512; ///< Quarantines remembered.
  size_t maxFailures = 512;    ///< Failures of endpoints that are remembered.
};

/** A quarantine, as processes tell each other. It stops the requests that contain all its parts. */
struct QuarantinedParts
{
  std::vector<PromptPart> parts;
  base::Milliseconds evidenceAge{ 0 }; ///< Time since the first crash that counted.
  base::Milliseconds left{ 0 };        ///< Time until the quarantine ends.
};

/**
 * Finds parts of prompts that crash every endpoint which begins to answer a request with them,
 * whatever else the request holds, and keeps such requests from further endpoints. A part is
 * quarantined after several crashes with no request that contains it and got past its beginning.
 * Parts that sound requests share are proved harmless all the time, so they do not come under
 * suspicion. Parts that the same crashes convict cannot be told apart: only requests that contain
 * all of them are stopped, until one of them is proved harmless or crashes endpoints without the
 * others. If another unproved part stood beside a convicted one at each crash, doubt is left: only
 * requests that also contain a part which stood beside it are stopped, and the others are let
 * through one at a time until one gets past its beginning or further crashes remove the doubt.
 *
 * Endpoints also fail together or repeatedly for reasons of their own, and all of them then hold
 * requests with popular parts. Crashes that coincide with failures of endpoints without the part
 * count half, and a quarantine that rests on any such crash begins only after a delay in which
 * sound requests can disprove it. Records are bounded by count and age. Not thread-safe.
 */
class PartQuarantine
{
public:
  explicit PartQuarantine(PartQuarantineOptions aOptions = {});

  /** The parts that no request proved harmless shortly before; only these are worth reporting. */
  std::vector<PromptPart> unproved(std::span<const PromptPart> aParts, base::TimePoint aNow) const;
  /** Records that a request with these parts began at aBegunAt and got past its beginning. Returns
   * those of them that other processes may hold in quarantine, or are about to: they were in
   * quarantine here, or one crash short of it. */
  std::vector<PromptPart> recordProof(std::span<const PromptPart> aParts, base::TimePoint aBegunAt);
  /** Records that requests at an endpoint were cut off at their beginning, as evidence of what else
   * fails at the same time. May precede recordCrash() with the same evidence, so that all news of
   * one moment is known before any of it is judged. */
  void recordFailure(const CrashEvidence& aEvidence, base::TimePoint aNow);
  /** When an endpoint other than this one failed last, as far as is remembered. */
  std::optional<base::TimePoint> lastOtherFailure(std::string_view aEndpoint) const;
  /** Whether evidence that was just recorded by recordFailure() can be judged at once. Otherwise
   * news of other failures of the same moment may still be underway. */
  bool canJudge(const CrashEvidence& aEvidence, base::TimePoint aNow) const;
  /** Records a crash, also of a request without unproved parts. Returns the parts that it puts into
   * quarantine together; isQuarantined() tells whether that is in force at once. */
  std::vector<PromptPart> recordCrash(const CrashEvidence& aEvidence, base::TimePoint aNow);
  /** The parts that recent proofs of this process show to be harmless while others report crashes
   * with them, of as many endpoints as leave them one short of a quarantine. The others should be
   * told; each part is returned once for so many reports, without those of crashes before it was
   * last returned or proved by another process. */
  std::vector<PromptPart> takeContradicted(base::TimePoint aNow);
  /** Records parts that another process has just proved harmless. */
  void recordToldProof(std::span<const PromptPart> aParts, base::TimePoint aNow);
  /** Withdraws evidence of an endpoint that did not crash. Ends the quarantines that do not hold
   * without it and returns their parts. */
  std::vector<PromptPart> retract(const CrashEvidence& aEvidence, base::TimePoint aNow);
  /** Takes over the quarantine of another process without the parts that newer proofs of this
   * process contradict, and returns those. */
  std::vector<PromptPart> adopt(const QuarantinedParts& aTold, base::TimePoint aNow);

  /** Time after the end of a quarantine from which on this process lets a request through.
   * Processes with different delays do not all try at once. */
  void setTrialDelay(base::Duration aDelay) { mTrialDelay = aDelay; }

  /** Returns true if a request with these parts that has just arrived may be sent on. */
  bool admit(std::span<const PromptPart> aParts, base::TimePoint aNow);
  /** What admit() would return. */
  bool mayAdmit(std::span<const PromptPart> aParts, base::TimePoint aNow) const;
  /** Returns true if a request with these parts that was admitted is to be stopped. */
  bool isQuarantined(std::span<const PromptPart> aParts, base::TimePoint aNow) const;
  /** Whether one of the parts stood in a crash that counts still. */
  bool hasCrashed(std::span<const PromptPart> aParts) const;
  /** The quarantines in force, with at most aMaxParts parts in all, but at least one; further calls
   * continue with the others, so that each is told. */
  std::vector<QuarantinedParts> quarantined(size_t aMaxParts, base::TimePoint aNow);
  size_t size() const { return mRecords.size(); }

private:
  struct Crash
  {
    std::string endpoint;
    uint64_t fingerprint = 0;
    base::TimePoint at;
    bool isExplained = false; ///< Led to a quarantine of the part, maybe with others.
    /** All parts that the crash may be due to; shared by their records. */
    std::shared_ptr<const std::vector<PromptPart>> suspects;
  };
  /** A span of time in which requests at one endpoint were cut off at their beginning. */
  struct Failure
  {
    std::string endpoint; ///< As in CrashEvidence.
    base::TimePoint from;
    base::TimePoint to;
    std::vector<std::vector<PromptPart>> requests; ///< Their unproved parts, sorted.

    /** Whether one of these requests had the part. */
    bool holds(PromptPart aPart) const;
  };
  struct Record
  {
    base::TimePoint provedAt;   ///< Begin of the latest request that got past its beginning.
    base::TimePoint updatedAt;  ///< Last proof or crash.
    std::vector<Crash> crashes; ///< Since the latest proof.
    /** Endpoints whose crashes others reported although the part was just proved. */
    std::vector<std::string> contradicted;
    base::TimePoint toldAt; ///< Latest proof that all processes were told of.
  };
  struct Quarantine
  {
    std::vector<PromptPart> parts; ///< Sorted; not empty.
    base::TimePoint since;         ///< First crash that counted.
    base::TimePoint until;
    base::TimePoint from{};       ///< Not in force before.
    uint32_t count = 1;           ///< Number of quarantines of these parts so far.
    base::TimePoint trialUntil{}; ///< One request was let through as a trial.
    std::string renewedBy;        ///< Endpoint whose single crash renewed it.
    /** Sorted. If not empty, the crashes may be due to these in place of `parts`. */
    std::vector<PromptPart> alternatives;
    size_t crashes = 0;          ///< Crashes so far while there were alternatives.
    base::TimePoint lastCrashAt; ///< The last of them.

    /** Whether a request with these parts, sorted, is to be stopped while this is in force. */
    bool stops(std::span<const PromptPart> aRequest) const;
  };
  /** A quarantine that ended because its evidence was wrong; others may still tell of it. */
  struct Retracted
  {
    std::vector<PromptPart> parts;
    base::TimePoint at;
  };

  Record& recordOf(PromptPart aPart, base::TimePoint aNow);
  base::TimePoint provedAt(PromptPart aPart) const;
  void addCrash(Record& aRecord, const Crash& aCrash) const;
  /** @param aSuspects the parts of the evidence that were not proved lately. */
  void noteContradicted(const CrashEvidence& aEvidence,
                        std::span<const PromptPart> aSuspects,
                        base::TimePoint aNow);
  /** Delays quarantines that have just begun if later news calls for a confirmation. */
  void delayDoubtful(base::TimePoint aNow);
  /** Whether the part stood in crashes of as many endpoints as a quarantine takes, and no request
   * with it has got past its beginning since. */
  bool isSuspected(PromptPart aPart) const;
  /** Number of endpoints that failed at the time of the crash with neither the part nor another one
   * that is suspected. */
  size_t unrelatedFailures(PromptPart aPart, const Crash& aCrash) const;
  /** Whether the crash is explained without the part: many endpoints failed, or this one had just
   * failed without it. */
  bool isCoincident(PromptPart aPart, const Crash& aCrash) const;
  bool isSimultaneous(const Failure& aFailure, base::TimePoint aAt) const;
  /** Whether one of the parts is suspected. */
  bool holdsSuspect(std::span<const PromptPart> aParts) const;
  /** Whether the crashes, at least one, may have been noticed at the same time. */
  bool isOneMoment(std::span<const Crash> aCrashes) const;
  /** Whether one of the requests has neither the part nor another suspected one. */
  bool hasUnrelatedRequests(const Failure& aFailure, PromptPart aPart) const;
  /** Whether a common failure of endpoints may explain the crashes of each of the parts. */
  bool needsConfirmation(std::span<const PromptPart> aParts) const;
  bool isConvicted(PromptPart aPart,
                   const Record& aRecord,
                   size_t aCrashes,
                   bool aCountAll = false) const;
  /** Counts the crash for each part and returns those with enough evidence. */
  std::vector<PromptPart> convict(const CrashEvidence& aEvidence, base::TimePoint aNow);
  void quarantineTogether(std::span<const PromptPart> aParts, base::TimePoint aNow);
  void renew(Quarantine& aQuarantine, base::TimePoint aNow) const;
  /** The parts that may have caused the crashes in place of those that are about to be convicted;
   * empty if the crashes leave no doubt. */
  std::vector<PromptPart> alternativesTo(std::span<const PromptPart> aConvicted,
                                         base::TimePoint aNow) const;
  /** Records one more crash of a quarantine that has alternatives, in a request with these sorted
   * parts. Returns the parts that are quarantined by it. */
  std::vector<PromptPart> recordFurtherCrash(Quarantine& aQuarantine,
                                             const CrashEvidence& aEvidence,
                                             std::span<const PromptPart> aSuspects,
                                             base::TimePoint aNow);
  /** Takes a part that is proved harmless out of the quarantines that rest on earlier crashes.
   * Returns true if one of them was in force. */
  bool exculpate(PromptPart aPart, base::TimePoint aBegunAt);
  /** Whether the crashes of one of the parts suffice for the quarantine. */
  bool holds(const Quarantine& aQuarantine) const;
  void add(Quarantine aQuarantine);
  void prune(base::TimePoint aNow);

  PartQuarantineOptions mOptions;
  base::Duration mTrialDelay{ 0 };
  base::TimePoint mPrunedAt;
  std::map<PromptPart, Record> mRecords;
  std::deque<Failure> mFailures;         ///< Oldest first.
  std::vector<PromptPart> mContradicted; ///< To be told to the other processes.
  std::vector<Quarantine> mQuarantines;  ///< In force, and past ones that make parts suspect.
  std::vector<Retracted> mRetracted;     ///< Oldest first.
  size_t mNextTold = 0;                  ///< Index into mQuarantines.
};

} // namespace boragepitch::serving
