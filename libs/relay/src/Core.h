#pragma once

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>
#include <vector>

#include "Asio.h"
#include "Upstream.h"
#include "base/Rng.h"
#include "relay/Relay.h"
#include "serving/CrashSuspects.h"
#include "serving/GracefulStop.h"
#include "serving/HedgePolicy.h"
#include "serving/MemoryBudget.h"
#include "serving/PartQuarantine.h"
#include "serving/PeerMessage.h"
#include "serving/PriorityAdmission.h"
#include "serving/RecentMaximum.h"
#include "serving/ReportedCrashes.h"
#include "serving/RequestDurations.h"
#include "serving/UrgentRefusals.h"
#include "serving/VersionSchedule.h"

namespace boragepitch::relay {

class CallerSession;

/** A duration as the value of a field in log lines; "-" when there is none. */
std::string milliseconds(std::optional<base::Duration> aTime);

struct RelayMetrics
{
  explicit RelayMetrics(telemetry::Registry& aRegistry);

  telemetry::Counter& served;
  telemetry::Counter& refused;
  telemetry::Counter& rejected; ///< Answered 4xx: invalid request, unknown key or route.
  telemetry::Counter& failed;
  telemetry::Counter& abandoned;
  telemetry::Counter& refusedByStop;
  telemetry::Counter& cutByStop;
  telemetry::Counter& repeats;
  telemetry::Counter& resumes;
  telemetry::Counter& connects;
  telemetry::Counter& sentAfterLeave;
  telemetry::Counter& begunOutdated;
  telemetry::Counter& quarantined;
  /** Refused for more urgent requests, by priority. */
  std::array<telemetry::Counter*, serving::kPriorityCount> refusedByPriority;
  telemetry::Counter& framingRejected;
  telemetry::Counter& refusedForMemory;
  telemetry::Counter& closedUnread;
  telemetry::Counter& closedForOthers;
  telemetry::Counter& hedgesSent;
  telemetry::Counter& hedgesWon;
  telemetry::Counter& hedgesLost;
  /** By serving::HedgeObstacle. */
  std::array<telemetry::Counter*, serving::kHedgeObstacles> hedgesNotSent{};
  telemetry::Gauge& callers;
  telemetry::Gauge& inFlight;
  telemetry::Gauge& deploymentVersion;
  telemetry::Gauge& endpoints;
  telemetry::LatencyHistogram& firstByte;
  telemetry::LatencyHistogram& total;
};

/** State shared by all sessions and calls of one relay. Used by the event loop's thread only. */
struct Core
{
  Core(RelayOptions aOptions,
       const HeaderCodec& aHeaderCodec,
       telemetry::Registry& aMetrics,
       telemetry::EventLog& aLog);
  ~Core();

  /** The oldest version that a request for the model may start on now; 0 for any. */
  uint64_t requiredVersion(const std::string& aModel, base::TimePoint aNow) const;
  /** The next version to be enforced, with the latest time at which a request may begin on an older
   * one; empty when none is due. */
  std::optional<serving::DueVersion> dueVersion(const std::string& aModel,
                                                base::TimePoint aNow) const;
  /** Time after the enforcement of a version in which a request may still begin on an older one. A
   * process that is behind with its timers withdraws requests late, so it allows for that. */
  base::Duration startGrace() const;
  /** The newest declared version of the model; 0 when none was declared. */
  uint64_t newestVersion(const std::string& aModel) const;
  /** Time since the list of endpoints was last confirmed; negative before the first time. */
  base::Duration listAge(base::TimePoint aNow) const
  {
    return listConfirmedAt ? aNow - *listConfirmedAt : base::Duration(-1);
  }
  /** Records that an endpoint crashed while a request, sent at aSentAt, was about to begin there,
   * and tells the other entries. */
  void reportCrash(serving::CrashEvidence aEvidence, base::TimePoint aSentAt, base::TimePoint aNow);
  /** Records evidence of this or another entry. Returns true when it is new. */
  bool recordCrash(const serving::CrashEvidence& aEvidence, base::TimePoint aNow);
  /** Judges the evidence that was recorded a while ago, when all news of its moment is known.
   * Called by each tick. */
  void judgeEvidence(base::TimePoint aNow);
  void judge(const serving::CrashEvidence& aEvidence,
             base::TimePoint aRecordedAt,
             base::TimePoint aNow);
  /** Tells the other entries what proofs of this one contradict evidence that was just judged. */
  void tellContradicted(base::TimePoint aNow);
  /** Withdraws the crash reports that an answer of the endpoint refutes, here and at the other
   * entries. Parameters as of ReportedCrashes::refute(). */
  void recordLife(const serving::Endpoint& aEndpoint,
                  base::TimePoint aOpenedAt,
                  base::TimePoint aNow);
  /** Withdraws a crash report.
   * @param aSource "answer" if this entry refuted it, "peer" if another one did. */
  void retractCrash(const serving::CrashEvidence& aEvidence,
                    std::string_view aSource,
                    base::TimePoint aNow);
  /** Records that a request completed; the other entries are told if it was under suspicion. */
  void recordCompletion(uint64_t aFingerprint, base::TimePoint aNow);
  /** Records that a request with these parts got past its beginning; the other entries are told of
   * parts that this takes out of quarantine. Parameters as of PartQuarantine::recordProof(). */
  void recordProof(std::span<const serving::PromptPart> aParts,
                   base::TimePoint aBegunAt,
                   base::TimePoint aNow);
  /** Tells the other entries of parts that are harmless though one of them may hold them in
   * quarantine. */
  void tellProof(std::vector<serving::PromptPart> aParts, base::TimePoint aNow);
  /** Lets entries try parts whose quarantine has ended one after another. */
  void setTrialDelay(std::span<const serving::EntryIdentity> aOthers);
  /** Tells a few other entries which requests and parts of prompts are in quarantine. */
  void spreadQuarantine(base::TimePoint aNow);
  /** Asks a few other entries what they hold in quarantine. */
  void askForQuarantine();
  /** Applies the notice of another entry, or answers its question. */
  void applyNotice(const serving::PartNotice& aNotice,
                   const asio::ip::udp::endpoint& aSender,
                   base::TimePoint aNow);
  /** Takes over the quarantines of requests that another entry tells. */
  void applyNotice(const serving::RequestNotice& aNotice, base::TimePoint aNow);
  /** Answers the question of another entry. */
  void tellQuarantine(const asio::ip::udp::endpoint& aReceiver, base::TimePoint aNow);
  /** The notices that name what is in quarantine; empty when nothing is. */
  std::vector<serving::PeerMessage> quarantineNotices(base::TimePoint aNow);
  /** The datagrams of a message. */
  std::vector<std::string> datagramsOf(const serving::PeerMessage& aMessage);
  void sendTo(const std::vector<std::string>& aDatagrams, const asio::ip::udp::endpoint& aReceiver);
  /** Sends to a few other entries, chosen at random. */
  void sendToSome(const serving::PeerMessage& aMessage);
  /** Sends to the other entries, several times, since a datagram may be lost. */
  void broadcast(const serving::PeerMessage& aMessage);
  /** Whether a request whose body has aBytes may be read; gives up pipelined requests for it. */
  bool makeRoom(size_t aBytes);
  /** Gives up the pipelined requests of the connection that holds most of them. Returns false if
   * there are none. */
  bool dropPipelined();
  /** Gives up what holds most until the memory budget is kept: first answers that their callers do
   * not read and pipelined requests, then requests that are not complete, and last the answers of
   * endpoints; far larger answers of endpoints come before requests. The one place that enforces
   * the budget on what is held already. */
  void relieveMemory(base::TimePoint aNow);
  /** @param aSource "crash" for evidence, "peer" for the quarantine of another entry. */
  void logQuarantine(uint64_t aFingerprint, std::string_view aSource, base::TimePoint aNow);
  bool isReady() const { return !stop.hasStarted() && deployment != nullptr && listConfirmedAt; }

  const RelayOptions options;
  const HeaderCodec& headerCodec;
  telemetry::EventLog& log;
  RelayMetrics metrics;
  serving::MemoryBudget memory{ options.maxHeldBytes };
  base::Rng rng;
  std::shared_ptr<const serving::Deployment> deployment;
  serving::EndpointSet endpoints;
  serving::PriorityAdmission admission;
  serving::UrgentRefusals urgentRefusals;
  serving::SharedRetryBudget retryBudget;
  serving::HedgePolicy hedges;
  serving::CrashSuspects suspects;
  serving::ReportedCrashes reportedCrashes;
  serving::PartQuarantine quarantine;
  /** Evidence that the quarantine of parts has not judged yet, oldest first. */
  std::deque<std::pair<base::TimePoint, serving::CrashEvidence>> unjudgedEvidence;
  std::map<std::string, serving::VersionSchedule, std::less<>> versions; ///< By model.
  std::optional<base::TimePoint> listConfirmedAt; ///< When the endpoint list was last confirmed.
  /** How late the event loop has recently run its timer. */
  serving::RecentMaximum loopDelay{ std::chrono::milliseconds(2500) };
  serving::GracefulStop stop;
  serving::RequestDurations durations;
  /** Handlers of operations keep sessions and calls alive until it is destroyed; what these use at
   * their end stands before it, and sockets after it. */
  asio::io_context io{ 1 };
  ConnectionPool pool;
  std::unordered_set<std::shared_ptr<CallerSession>> sessions; ///< All open sessions.
  asio::ip::udp::socket peerSocket{ io };
  std::vector<asio::ip::udp::endpoint> peers;
  /** Numbers the messages for MessageAssembler; starts with the time, as a former start may have
   * used other numbers shortly before. */
  uint64_t sentMessages =
    static_cast<uint64_t>(std::chrono::steady_clock::now().time_since_epoch().count());
};

} // namespace boragepitch::relay
