#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
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
   * last proof is older. With few sound requests none may come between the crashes. */
  size_t crashesIfProved = 8;
  /** Different requests with the part that these crashes must have hit: a single one may just have
   * been resent to endpoints that crashed by chance. */
  size_t requests = 2;
  /** Crashes that lie further back do not count. */
  base::Milliseconds memory{ 60000 };
  /** Duration of the first quarantine of a part; doubles with each further one. Sound requests that
   * contain a wrongly quarantined part are served again after it. */
  base::Milliseconds duration{ 60000 };
  base::Milliseconds maxDuration{ 600000 };
  /** Time for which a proof keeps a part out of crash reports. */
  base::Milliseconds proofValidity{ 1500 };
  /** Time for which a proof is remembered: against the quarantine of another process, and to tell
   * the parts of a request apart. */
  base::Milliseconds proofMemory{ 10000 };
  size_t maxParts = 8192; ///< Parts remembered.
};

/** A part in quarantine, as processes tell each other. */
struct QuarantinedPart
{
  PromptPart part = 0;
  base::Milliseconds evidenceAge{ 0 }; ///< Time since the first crash that counted.
  base::Milliseconds left{ 0 };        ///< Time until the quarantine ends.
};

/**
 * Finds parts of prompts that crash every endpoint which begins to answer a request with them,
 * whatever else the request holds, and keeps such requests from further endpoints. A part is
 * quarantined after several crashes with no request that contains it and got past its beginning.
 * Parts that sound requests share are proved harmless all the time, so they do not come under
 * suspicion. Records are bounded by count and age. Not thread-safe.
 */
class PartQuarantine
{
public:
  explicit PartQuarantine(PartQuarantineOptions aOptions = {});

  /** The parts that no request proved harmless shortly before; only these are worth reporting. */
  std::vector<PromptPart> unproved(std::span<const PromptPart> aParts, base::TimePoint aNow) const;
  /** Records that a request with these parts began at aBegunAt and got past its beginning. */
  void recordProof(std::span<const PromptPart> aParts, base::TimePoint aBegunAt);
  /** Records a crash. Returns the parts that it puts into quarantine. */
  std::vector<PromptPart> recordCrash(const CrashEvidence& aEvidence, base::TimePoint aNow);
  /** Takes over the quarantine of another process. Returns false if a proof of this process, which
   * is newer than the evidence, contradicts it. */
  bool adopt(const QuarantinedPart& aPart, base::TimePoint aNow);

  bool isQuarantined(std::span<const PromptPart> aParts, base::TimePoint aNow) const;
  /** The parts in quarantine, at most aLimit; further calls continue with the others, so that each
   * part is told. */
  std::vector<QuarantinedPart> quarantined(size_t aLimit, base::TimePoint aNow);
  size_t size() const { return mRecords.size(); }

private:
  struct Crash
  {
    std::string endpoint;
    uint64_t fingerprint = 0;
    base::TimePoint at;
  };
  struct Record
  {
    base::TimePoint provedAt;       ///< Begin of the latest request that got past its beginning.
    base::TimePoint updatedAt;      ///< Last proof or crash.
    std::vector<Crash> crashes;     ///< Since the latest proof.
    base::TimePoint suspectedSince; ///< First crash that counted for the present quarantine.
    base::TimePoint quarantinedUntil;
    uint32_t quarantines = 0; ///< Number of quarantines so far.
  };

  Record& recordOf(PromptPart aPart, base::TimePoint aNow);
  void addCrash(Record& aRecord, const Crash& aCrash) const;
  bool isConvicted(const Record& aRecord, size_t aCrashes) const;
  void quarantine(Record& aRecord, base::TimePoint aSince, base::TimePoint aNow) const;
  bool isObsolete(const Record& aRecord, base::TimePoint aNow) const;
  void prune(base::TimePoint aNow);

  PartQuarantineOptions mOptions;
  base::TimePoint mPrunedAt;
  PromptPart mListedLast = 0;
  std::map<PromptPart, Record> mRecords;
};

} // namespace boragepitch::serving
