#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <string>
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
 * Records are bounded by count and age. Not thread-safe.
 */
class PartQuarantine
{
public:
  explicit PartQuarantine(PartQuarantineOptions aOptions = {});

  /** The parts that no request proved harmless shortly before; only these are worth reporting. */
  std::vector<PromptPart> unproved(std::span<const PromptPart> aParts, base::TimePoint aNow) const;
  /** Records that a request with these parts began at aBegunAt and got past its beginning. Returns
   * those of them that this takes out of a quarantine which was in force then. */
  std::vector<PromptPart> recordProof(std::span<const PromptPart> aParts, base::TimePoint aBegunAt);
  /** Records a crash. Returns the parts that it puts into quarantine together. */
  std::vector<PromptPart> recordCrash(const CrashEvidence& aEvidence, base::TimePoint aNow);
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
  /** Returns true if a request with these parts that was admitted is to be stopped. */
  bool isQuarantined(std::span<const PromptPart> aParts, base::TimePoint aNow) const;
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
  struct Record
  {
    base::TimePoint provedAt;   ///< Begin of the latest request that got past its beginning.
    base::TimePoint updatedAt;  ///< Last proof or crash.
    std::vector<Crash> crashes; ///< Since the latest proof.
  };
  struct Quarantine
  {
    std::vector<PromptPart> parts; ///< Sorted; not empty.
    base::TimePoint since;         ///< First crash that counted.
    base::TimePoint until;
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
  bool isConvicted(const Record& aRecord, size_t aCrashes, bool aCountAll = false) const;
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
  std::vector<Quarantine> mQuarantines; ///< In force, and past ones that make parts suspect.
  std::vector<Retracted> mRetracted;    ///< Oldest first.
  size_t mNextTold = 0;                 ///< Index into mQuarantines.
};

} // namespace boragepitch::serving
