#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/value.h>

#include "ConfigMerge.h"
#include "Freshness.h"
#include "NodeMerge.h"
#include "Schedule.h"
#include "base/Limits.h"
#include "base/Rng.h"
#include "control/Fleet.h"

namespace boragepitch::control {

/** What happened since the last look, for the threads around the core. */
struct Effects
{
  bool configChanged = false;
  bool nodesChanged = false;
  std::set<std::string> urgentNodes;    ///< Records to push at once.
  std::set<std::string> urgentHeads;    ///< Processes of which only the liveness changed.
  std::optional<net::Address> pullFrom; ///< A peer with a newer configuration.
};

/** A peer's answer to an exchange. */
struct ExchangeAnswer
{
  std::string id;
  std::string region;
  uint64_t revision = 0;
  EvidenceAges ages; ///< Valid for a process that knows the configuration of revision.
  base::TimePoint sent;
  std::optional<Json::Value> reconcile; ///< Request of the next step when node records differ.
};

/**
 * Builds and takes in the messages between processes, and holds what they are about. Pure: time and
 * randomness are arguments, nothing is sent. Not thread-safe.
 *
 * A malformed message changes nothing: each is decoded whole before any of it is applied.
 */
class FleetCore
{
public:
  FleetCore(const NodeState& aSelf,
            const FleetSettings& aSettings,
            ResourceCodec aCodec,
            base::TimePoint aNow);

  const ConfigMerge& config() const { return mConfig; }
  const NodeMerge& nodes() const { return mNodes; }
  const Freshness& freshness() const { return mFreshness; }
  size_t liveNodes() const;
  Effects takeEffects();

  void publish(NodeState aSelf);
  void adopt(const std::vector<LogEntry>& aEntries);
  void adopt(std::shared_ptr<const resources::Snapshot> aSnapshot);
  /** rev was aRevision in an answer to a request sent at aSent. */
  void storeAnswered(uint64_t aRevision, base::TimePoint aSent);
  void tick(base::TimePoint aNow);
  void paused(base::TimePoint aNow);
  void reportUnreachable(const std::string& aId, base::TimePoint aNow);
  void takeVmList(const std::vector<stores::ListedVm>& aVms, base::TimePoint aNow);

  // fleet.exchange: revision and digest; the first step of each gossip round.
  Json::Value exchangeRequest(const std::string& aPeerId) const;
  base::Result<Json::Value> answerExchange(const Json::Value& aRequest,
                                           base::TimePoint aNow,
                                           base::Rng& aRng);
  base::Result<ExchangeAnswer> takeExchangeAnswer(const Json::Value& aAnswer,
                                                  base::TimePoint aSent,
                                                  base::TimePoint aNow);
  /** Takes over the peer's evidence if its configuration is known here by now. */
  bool applyEvidence(const ExchangeAnswer& aAnswer);

  // fleet.deliver: records and log entries. Returns a last request when the peer lacks records.
  base::Result<Json::Value> answerDeliver(const Json::Value& aRequest, base::TimePoint aNow);
  base::Result<std::optional<Json::Value>> takeDeliverAnswer(const Json::Value& aAnswer,
                                                             base::TimePoint aNow);
  /** A push of the entries after aAfter and of urgent records; empty when there is nothing. */
  std::optional<Json::Value> pushRequest(uint64_t aAfter,
                                         const Effects& aEffects,
                                         base::TimePoint aNow);

  // fleet.pull: the configuration after a revision, on request with all node records.
  Json::Value pullRequest(bool aWithNodes) const;
  base::Result<Json::Value> answerPull(const Json::Value& aRequest) const;
  base::Status takePullAnswer(const Json::Value& aAnswer, base::TimePoint aNow);

private:
  struct Record
  {
    NodeState state;
    Liveness liveness = Liveness::Alive;
  };

  Json::Value encodeRecord(const std::string& aId) const;
  static base::Result<std::vector<Record>> decodeRecords(const Json::Value& aList);
  static base::Result<std::vector<RecordHead>> decodeHeads(const Json::Value& aList);
  base::Result<std::vector<LogEntry>> decodeEntries(const Json::Value& aList) const;
  Json::Value recordsWithinBudget(const std::vector<std::string>& aIds, base::TimePoint aNow);
  void merge(const std::vector<Record>& aRecords, base::TimePoint aNow);
  void mergeHead(const RecordHead& aHead, base::TimePoint aNow);
  void noteChange(const std::string& aId, const std::optional<NodeEntry>& aBefore);
  void notePeerRevision(const Json::Value& aMessage);
  void updateRegions();

  ResourceCodec mCodec;
  ConfigMerge mConfig;
  NodeMerge mNodes;
  Freshness mFreshness;
  base::TokenBucket mNews;
  std::set<std::string> mSeenRegions;
  Effects mEffects;
};

/** Fixed-width hexadecimal of 32-bit hashes, one after the other. */
std::string encodeHashes(const std::vector<uint32_t>& aHashes);
std::optional<std::vector<uint32_t>> decodeHashes(const std::string& aText);

} // namespace boragepitch::control
