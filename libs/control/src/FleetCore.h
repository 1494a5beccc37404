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

/** Changes since the last takeEffects(), to be acted on by FleetImpl. */
struct Effects
{
  bool configChanged = false;
  bool nodesChanged = false;
  std::set<std::string> urgentNodes;    ///< Ids of records to push at once.
  std::set<std::string> urgentLiveness; ///< Ids of processes whose liveness alone changed.
  std::optional<net::Address> pullFrom; ///< Peer with a newer configuration.
};

/** Decoded answer of a peer to fleet.exchange. */
struct ExchangeAnswer
{
  std::string id;
  std::string region;
  uint64_t revision = 0;
  EvidenceAges ages; ///< Usable only once this process knows `revision`.
  base::TimePoint sent;
  std::optional<Json::Value> reconcile; ///< fleet.deliver request to send if node records differ.
};

/**
 * Builds and handles the messages between processes, and holds the state that they carry. Performs
 * no I/O; time and randomness are arguments. Not thread-safe.
 *
 * A malformed message changes nothing: a message is decoded completely before any part is applied.
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
  /** The store answered a read sent at aSent: its revision was aRevision. */
  void storeAnswered(uint64_t aRevision, base::TimePoint aSent);
  void tick(base::TimePoint aNow);
  void paused(base::TimePoint aNow);
  void reportUnreachable(const std::string& aId, base::TimePoint aNow);
  void updateVmList(const std::vector<stores::ListedVm>& aVms, base::TimePoint aNow);

  // fleet.exchange: compares revisions and digests; the first step of each gossip round.
  Json::Value exchangeRequest(const std::string& aPeerId) const;
  base::Result<Json::Value> answerExchange(const Json::Value& aRequest,
                                           base::TimePoint aNow,
                                           base::Rng& aRng);
  base::Result<ExchangeAnswer> handleExchangeAnswer(const Json::Value& aAnswer,
                                                    base::TimePoint aSent,
                                                    base::TimePoint aNow);
  /** Uses the peer's evidence of contact; false if its revision is not known here yet. */
  bool applyEvidence(const ExchangeAnswer& aAnswer);

  // fleet.deliver: transfers records and log entries. Handling the answer returns one more request
  // if the peer asked for records.
  base::Result<Json::Value> answerDeliver(const Json::Value& aRequest, base::TimePoint aNow);
  base::Result<std::optional<Json::Value>> handleDeliverAnswer(const Json::Value& aAnswer,
                                                               base::TimePoint aNow);
  /** Pushes log entries after aAfter and urgent records; nullopt if there is nothing to push. */
  std::optional<Json::Value> pushRequest(uint64_t aAfter,
                                         const Effects& aEffects,
                                         base::TimePoint aNow);

  // fleet.pull: fetches the configuration after a revision and, optionally, all node records.
  Json::Value pullRequest(bool aWithNodes) const;
  base::Result<Json::Value> answerPull(const Json::Value& aRequest) const;
  base::Status handlePullAnswer(const Json::Value& aAnswer, base::TimePoint aNow);

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
  /** Whether records of entries that were not known before are passed on at once. */
  enum class NewEntries
  {
    Forward,
    Keep, ///< The other processes have known them before.
  };
  void merge(const std::vector<Record>& aRecords,
             base::TimePoint aNow,
             NewEntries aNewEntries = NewEntries::Forward);
  void mergeHead(const RecordHead& aHead, base::TimePoint aNow);
  void noteChange(const std::string& aId, const std::optional<NodeEntry>& aBefore);
  void notePeerRevision(const Json::Value& aMessage);
  void updateRegions();

  ResourceCodec mCodec;
  ConfigMerge mConfig;
  NodeMerge mNodes;
  Freshness mFreshness;
  base::TokenBucket mRecordBudget;
  std::set<std::string> mSeenRegions;
  Effects mEffects;
};

/** Concatenates the hashes as eight hexadecimal digits each. */
std::string encodeHashes(const std::vector<uint32_t>& aHashes);
std::optional<std::vector<uint32_t>> decodeHashes(const std::string& aText);

} // namespace boragepitch::control
