#include "relay/Relay.h"

#include <algorithm>
#include <array>
#include <list>
#include <optional>

#include <malloc.h>

#include "CallerSession.h"
#include "Core.h"
#include "Explanation.h"
#include "Listener.h"
#include "serving/Fragments.h"

namespace boragepitch::relay {

namespace {

using namespace std::chrono_literals;

/** Interval at which sessions check their timeouts. */
constexpr base::Milliseconds kTickInterval = 50ms;
/** Time to read what arrived during a stall of the event loop. */
constexpr base::Milliseconds kCatchUpTime = 10ms;
/** Interval of housekeeping: idle connections are closed, the quarantine is told to others. */
constexpr base::Milliseconds kHousekeepingInterval = 1000ms;
/** At the metrics port; other paths serve the metrics. */
constexpr std::string_view kExplainPath = "/route";
/** Blocks of this size are rare: most bodies and answers are far shorter. */
constexpr int kLongAllocationBytes = 256 << 10;

/** Longest request to the readiness or metrics port, its framing included. */
constexpr size_t kMaxStatusRequestBytes = 16 << 10;
/** A connection of a caller is closed for a new one only if it has held no request for this long:
 * callers that have just connected are about to send one. */
constexpr base::Milliseconds kMinTimeWithoutRequest = 1000ms;
/** Connections that are tried for a new one; bounds the system calls for each. */
constexpr size_t kMaxClosesTried = 16;

/** One connection to the readiness or metrics port; answers requests by a given function. */
class StatusSession : public std::enable_shared_from_this<StatusSession>
{
public:
  /** Returns a status and a body.
   * @param aTarget path of the request. */
  using Answer =
    std::function<std::pair<int, std::string>(std::string_view aTarget, std::string_view aBody)>;

  StatusSession(Tcp::socket aSocket, const Answer& aAnswer)
    : mSocket(std::move(aSocket))
    , mAnswer(aAnswer)
  {
  }

  void read()
  {
    mReadSince = std::chrono::steady_clock::now();
    mParser.emplace();
    mParser->header_limit(kMaxStatusRequestBytes);
    mParser->body_limit(kMaxStatusRequestBytes);
    http::async_read(
      mSocket, mBuffer, *mParser, [self = shared_from_this()](ErrorCode aError, size_t) {
        if (aError) {
          self->close();
        } else {
          self->answer();
        }
      });
  }

  void close()
  {
    ErrorCode ignored; // The socket is not used any more.
    mSocket.close(ignored);
  }

  bool isOpen() const { return mSocket.is_open(); }
  /** When the latest request began to be awaited. */
  base::TimePoint readSince() const { return mReadSince; }

private:
  void answer()
  {
    const auto& request = mParser->get();
    auto target = request.target();
    auto [status, body] = mAnswer({ target.data(), target.size() }, request.body());
    mResponse = { http::int_to_status(static_cast<unsigned>(status)), request.version() };
    mResponse.keep_alive(request.keep_alive());
    mResponse.set(http::field::content_type, "text/plain");
    mResponse.body() = std::move(body);
    mResponse.prepare_payload();
    http::async_write(mSocket, mResponse, [self = shared_from_this()](ErrorCode aError, size_t) {
      if (!aError && self->mResponse.keep_alive() && self->isOpen()) {
        self->read();
      } else {
        self->close();
      }
    });
  }

  Tcp::socket mSocket;
  const Answer& mAnswer;
  beast::flat_buffer mBuffer{ kMaxStatusRequestBytes };
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
  base::TimePoint mReadSince;
};

/** The connections to one of these ports. */
using StatusSessions = std::list<std::shared_ptr<StatusSession>>;

} // namespace

class RelayImpl final : public Relay
{
public:
  explicit RelayImpl(const Relay::Builder& aBuilder)
    : mMetrics(*aBuilder.mMetrics)
    , mCore(aBuilder.mOptions, *aBuilder.mHeaderCodec, *aBuilder.mMetrics, *aBuilder.mLog)
  {
  }

  base::Status start() override
  {
    for (auto [listener, address] :
         { std::pair{ &mCallerListener, &mCore.options.callers },
           std::pair{ &mReadinessListener, &mCore.options.readiness } }) {
      if (auto opened = listener->open(*address); !opened) {
        return opened;
      }
    }
    if (mCore.options.metrics) {
      if (auto opened = mMetricsListener.open(*mCore.options.metrics); !opened) {
        return opened;
      }
      startStatus(mMetricsListener, mMetricsSessions, mMetricsAnswer);
    }
    if (auto opened = openPeerSocket(); !opened) {
      return opened;
    }
    mCallerListener.start([this](Tcp::socket aSocket) { startSession(std::move(aSocket)); },
                          [this](const ErrorCode& aError) { logAcceptFailed(aError); });
    startStatus(mReadinessListener, mReadinessSessions, mReadinessAnswer);
    receivePeer();
    scheduleTick();
    return {};
  }

  void run() override { mCore.io.run(); }

  void startLeaving(base::TimePoint aSignalledAt) override
  {
    post([this, aSignalledAt] {
      auto now = std::chrono::steady_clock::now();
      if (!mCore.stop.start(aSignalledAt)) {
        return;
      }
      logState("leaving",
               { { "sessions", std::to_string(mCore.sessions.size()) },
                 { "in_flight", std::to_string(callsInFlight()) },
                 { "signal_age_ms", std::to_string(base::toMilliseconds(now - aSignalledAt)) } });
    });
  }

  void setDeployment(std::shared_ptr<const serving::Deployment> aDeployment) override
  {
    post([this, deployment = std::move(aDeployment)] {
      if (mCore.deployment && deployment->version() <= mCore.deployment->version()) {
        return;
      }
      mCore.deployment = deployment;
      mCore.metrics.deploymentVersion.set(static_cast<int64_t>(deployment->version()));
      logState("deployment",
               { { "version", std::to_string(deployment->version()) },
                 { "routes", std::to_string(deployment->routeCount()) } });
    });
  }

  void changeEndpoints(std::vector<serving::EndpointChange> aChanges) override
  {
    post([this, changes = std::move(aChanges)] {
      auto now = std::chrono::steady_clock::now();
      for (const auto& change : changes) {
        std::visit([&](const auto& aChange) { apply(aChange, now); }, change);
      }
      mCore.metrics.endpoints.set(static_cast<int64_t>(mCore.endpoints.listedCount()));
    });
  }

  void setEvacuated(std::set<std::string> aZones) override
  {
    post([this, zones = std::move(aZones)] {
      if (zones == mCore.endpoints.evacuated()) {
        return;
      }
      std::string names;
      for (const std::string& zone : zones) {
        names += (names.empty() ? "" : ",") + zone;
      }
      mCore.endpoints.setEvacuated(zones);
      logState("evacuated", { { "zones", names.empty() ? "-" : names } });
    });
  }

  void declareVersion(std::string aModel, uint64_t aVersion, base::TimePoint aEnforceFrom) override
  {
    post([this, model = std::move(aModel), aVersion, aEnforceFrom] {
      if (!mCore.versions[model].declare(aVersion, aEnforceFrom)) {
        return;
      }
      auto wait = aEnforceFrom - std::chrono::steady_clock::now();
      logState("weights_declared",
               { { "model", model },
                 { "version", std::to_string(aVersion) },
                 { "enforced_in_ms", std::to_string(base::toMilliseconds(wait)) } });
    });
  }

  void setPeers(std::vector<Peer> aPeers) override
  {
    post([this, peers = std::move(aPeers)] {
      mCore.peers.clear();
      std::vector<serving::EntryIdentity> identities;
      for (const Peer& peer : peers) {
        mCore.peers.emplace_back(asio::ip::make_address_v4(peer.address.host),
                                 static_cast<uint16_t>(peer.address.port));
        identities.push_back(peer.identity);
      }
      int entries = static_cast<int>(peers.size()) + 1;
      mCore.endpoints.setOtherEntries(identities);
      mCore.retryBudget.setProcessCount(entries);
      mCore.setTrialDelay(identities);
      if (!std::exchange(mHasAskedPeers, !peers.empty())) {
        mCore.askForQuarantine();
      }
      logState("entries", { { "count", std::to_string(entries) } });
    });
  }

  void confirmList(base::TimePoint aAt) override
  {
    post([this, aAt] { mCore.listConfirmedAt = aAt; });
  }

private:
  template<typename Function>
  void post(Function aFunction)
  {
    asio::post(mCore.io, std::move(aFunction));
  }

  void logState(std::string_view aEvent, std::initializer_list<telemetry::Field> aFields)
  {
    mCore.log.write(
      telemetry::EventClass::Critical, aEvent, aFields, std::chrono::steady_clock::now());
  }

  void apply(const serving::EndpointRecord& aRecord, base::TimePoint aNow)
  {
    const serving::Service* service =
      mCore.deployment ? mCore.deployment->service(aRecord.service) : nullptr;
    mCore.endpoints.apply(aRecord, service, aNow);
    logState("endpoint",
             { { "id", aRecord.id },
               { "service", aRecord.service },
               { "address", aRecord.address.toString() },
               { "zone", aRecord.zone },
               { "born", std::to_string(aRecord.startTimeMs) },
               { "state", aRecord.isDraining ? "draining" : "ready" },
               { "cold_ms", std::to_string(aRecord.coldFor.count()) },
               { "weights", std::to_string(aRecord.weightVersion.value_or(0)) } });
  }

  void apply(const serving::EndpointGone& aGone, base::TimePoint aNow)
  {
    if (aGone.hasLapsed) {
      mCore.endpoints.lapse(aGone.id, aNow);
      logState("endpoint_lapsed", { { "id", aGone.id } });
      return;
    }
    if (!mCore.endpoints.remove(aGone.id, aNow)) {
      return;
    }
    mCore.pool.dropEndpoint(aGone.id);
    logState("endpoint_gone", { { "id", aGone.id } });
  }

  void startSession(Tcp::socket aSocket)
  {
    if (mCore.sessions.size() < mCore.options.maxCallerConnections || closeOneForOthers()) {
      std::make_shared<CallerSession>(mCore, std::move(aSocket))->start();
    }
  }

  /** Closes the connection that has held no request for longest. Returns false if there is none. */
  bool closeOneForOthers()
  {
    auto latest = std::chrono::steady_clock::now() - base::Duration(kMinTimeWithoutRequest);
    std::vector<std::pair<base::TimePoint, std::shared_ptr<CallerSession>>> idle;
    for (const auto& session : mCore.sessions) {
      auto since = session->withoutRequestSince();
      if (since && *since < latest) {
        idle.emplace_back(*since, session);
      }
    }
    // Bytes of a request may just have arrived on some of the oldest.
    auto tried = idle.begin() + static_cast<ptrdiff_t>(std::min(idle.size(), kMaxClosesTried));
    std::partial_sort(idle.begin(), tried, idle.end());
    return std::any_of(
      idle.begin(), tried, [](const auto& aIdle) { return aIdle.second->closeForOthers(); });
  }

  void startStatus(Listener& aListener,
                   StatusSessions& aSessions,
                   const StatusSession::Answer& aAnswer)
  {
    aListener.start(
      [this, &aSessions, &aAnswer](Tcp::socket aSocket) {
        std::erase_if(aSessions, [](const auto& aSession) { return !aSession->isOpen(); });
        if (aSessions.size() >= mCore.options.maxStatusConnections) {
          aSessions.front()->close();
          aSessions.pop_front();
        }
        aSessions.push_back(std::make_shared<StatusSession>(std::move(aSocket), aAnswer));
        aSessions.back()->read();
      },
      [this](const ErrorCode& aError) { logAcceptFailed(aError); });
  }

  /** Closes connections to the status ports that send no whole request. */
  void pruneStatusSessions(base::TimePoint aNow)
  {
    for (StatusSessions* sessions : { &mReadinessSessions, &mMetricsSessions }) {
      std::erase_if(*sessions, [&](const auto& aSession) {
        if (aNow - aSession->readSince() > base::Duration(mCore.options.statusTimeout)) {
          aSession->close();
        }
        return !aSession->isOpen();
      });
    }
  }

  void logAcceptFailed(const ErrorCode& aError)
  {
    logState("accept_failed", { { "error", aError.message() } });
  }

  base::Status openPeerSocket()
  {
    ErrorCode error;
    const net::Address& address = mCore.options.peers;
    mCore.peerSocket.open(asio::ip::udp::v4(), error);
    if (!error) {
      mCore.peerSocket.bind(
        { asio::ip::make_address_v4(address.host), static_cast<uint16_t>(address.port) }, error);
    }
    if (!error) {
      mCore.peerSocket.non_blocking(true, error);
    }
    if (error) {
      return base::fail(base::ErrorKind::Unavailable,
                        address.toString(),
                        "cannot receive datagrams: " + error.message(),
                        "free the address or correct the setting");
    }
    return {};
  }

  void receivePeer()
  {
    mCore.peerSocket.async_receive_from(
      asio::buffer(mDatagram), mSender, [this](ErrorCode aError, size_t aBytes) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          handleDatagram({ mDatagram.data(), aBytes });
        }
        receivePeer();
      });
  }

  void handleDatagram(std::string_view aText)
  {
    auto now = std::chrono::steady_clock::now();
    auto text = mAssembler.add(aText, mSender.address().to_string(), now);
    if (!text) {
      return; // The other datagrams of the message are still to come.
    }
    auto message = serving::decode(*text);
    if (!message) {
      logState("datagram_invalid", { { "error", message.error().describe() } });
      return;
    }
    if (auto* report = std::get_if<serving::LoadReport>(&*message)) {
      mCore.endpoints.recordReport(*report, now);
    } else if (auto* evidence = std::get_if<serving::CrashEvidence>(&*message)) {
      mCore.recordCrash(*evidence, now);
    } else if (auto* notice = std::get_if<serving::PartNotice>(&*message)) {
      mCore.applyNotice(*notice, mSender, now);
    } else if (auto* requests = std::get_if<serving::RequestNotice>(&*message)) {
      mCore.applyNotice(*requests, now);
    } else if (auto* refutation = std::get_if<serving::CrashRefutation>(&*message)) {
      mCore.retractCrash(refutation->evidence, "peer", now);
    }
  }

  void scheduleTick(base::Milliseconds aAfter = kTickInterval)
  {
    mTickDueAt = std::chrono::steady_clock::now() + base::Duration(aAfter);
    mTimer.expires_at(mTickDueAt);
    mTimer.async_wait([this](ErrorCode aError) {
      if (!aError) {
        tick(std::chrono::steady_clock::now());
      }
    });
  }

  void tick(base::TimePoint aNow)
  {
    mTickLateness = aNow - mTickDueAt;
    mCore.loopDelay.observe(mTickLateness, aNow);
    if (mTickLateness > base::Duration(kTickInterval) && !std::exchange(mHasCaughtUp, true)) {
      // What has arrived while the loop was stalled is read before any time limit is judged.
      scheduleTick(kCatchUpTime);
      return;
    }
    mHasCaughtUp = false;
    for (Listener* listener : { &mCallerListener, &mReadinessListener, &mMetricsListener }) {
      listener->retry();
    }
    // A tick may close sessions, which changes the set: iterate over a copy.
    std::vector<std::shared_ptr<CallerSession>> sessions(mCore.sessions.begin(),
                                                         mCore.sessions.end());
    for (const auto& session : sessions) {
      session->tick(aNow);
    }
    if (mCore.memory.isExceeded()) {
      mCore.relieveMemory(aNow);
    }
    mCore.judgeEvidence(aNow);
    if (aNow - mHousekeepingAt > kHousekeepingInterval) {
      mHousekeepingAt = aNow;
      mCore.pool.prune(aNow);
      mCore.durations.prune(aNow);
      mCore.hedges.prune(aNow);
      pruneStatusSessions(aNow);
      mCore.spreadQuarantine(aNow);
    }
    if (mCore.stop.hasStarted() && advanceLeaving(aNow)) {
      logUnfinished(aNow);
      closeSessions();
      mCore.log.flush(aNow);
      mCore.io.stop();
      return;
    }
    mCore.log.flush(aNow);
    scheduleTick();
  }

  size_t callsInFlight() const
  {
    return static_cast<size_t>(
      std::count_if(mCore.sessions.begin(), mCore.sessions.end(), [](const auto& aSession) {
        return aSession->call() != nullptr;
      }));
  }

  /** Logs what the end of the process breaks off. */
  void logUnfinished(base::TimePoint aNow)
  {
    for (const auto& session : mCore.sessions) {
      session->logUnfinished(aNow);
    }
    logState("left",
             { { "sessions", std::to_string(mCore.sessions.size()) },
               { "in_flight", std::to_string(callsInFlight()) },
               { "tick_late_ms", milliseconds(mTickLateness) },
               { "stop_ms", milliseconds(mCore.stop.elapsed(aNow)) } });
  }

  /** Tells callers at once that nobody reads their connections any more: the end of the process may
   * take a while. */
  void closeSessions()
  {
    auto sessions = mCore.sessions;
    for (const auto& session : sessions) {
      session->close();
    }
  }

  /** Advances a graceful stop. Returns true when it is complete. */
  bool advanceLeaving(base::TimePoint aNow)
  {
    if (mCore.stop.acceptsConnections(aNow)) {
      return false;
    }
    if (mCallerListener.isOpen()) {
      mCallerListener.end();
      logState("accepting_ended",
               { { "sessions", std::to_string(mCore.sessions.size()) },
                 { "tick_late_ms", milliseconds(mTickLateness) },
                 { "stop_ms", milliseconds(mCore.stop.elapsed(aNow)) } });
      return false; // The last connections are reported and read first.
    }
    std::vector<std::shared_ptr<CallerSession>> sessions(mCore.sessions.begin(),
                                                         mCore.sessions.end());
    for (const auto& session : sessions) {
      session->closeIdle(aNow);
    }
    return mCore.sessions.empty() || (mCore.stop.isOver(aNow) && finishAnswers(aNow));
  }

  /** After the limit of a stop: refuses requests of which a part is missing, and lets what has
   * arrived be answered and the answers be written, for a short time. Returns true when the loop
   * may end. */
  bool finishAnswers(base::TimePoint aNow)
  {
    // Counts from here, not from the limit: the process may have had no processor time since.
    mOverSince = mOverSince.value_or(aNow);
    bool isAnswered = true;
    std::vector<std::shared_ptr<CallerSession>> sessions(mCore.sessions.begin(),
                                                         mCore.sessions.end());
    for (const auto& session : sessions) {
      session->refuseUnfinished();
      isAnswered = !session->owesAnswer() && isAnswered;
    }
    return isAnswered || aNow - *mOverSince >= base::Duration(mCore.options.leaveEndTime);
  }

  telemetry::Registry& mMetrics;
  Core mCore;
  Listener mCallerListener{ mCore.io };
  Listener mReadinessListener{ mCore.io };
  Listener mMetricsListener{ mCore.io };
  StatusSessions mReadinessSessions;
  StatusSessions mMetricsSessions;
  asio::steady_timer mTimer{ mCore.io };
  base::TimePoint mTickDueAt;
  base::Duration mTickLateness{}; ///< Of the latest tick: how long the loop was stalled before it.
  bool mHasCaughtUp = false;      ///< The latest tick was late and postponed.
  base::TimePoint mHousekeepingAt;
  std::optional<base::TimePoint>
    mOverSince; ///< When a tick first found the limit of a stop passed.
  std::array<char, serving::kMaxDatagramBytes> mDatagram{};
  serving::MessageAssembler mAssembler;
  asio::ip::udp::endpoint mSender;
  bool mHasAskedPeers = false; ///< Other entries were asked for their quarantine after the start.
  const StatusSession::Answer mReadinessAnswer = [this](std::string_view aTarget,
                                                        std::string_view) {
    bool known = aTarget == mCore.options.readinessPath;
    return std::pair{ !known ? 404 : mCore.isReady() ? 200 : 503, std::string() };
  };
  const StatusSession::Answer mMetricsAnswer = [this](std::string_view aTarget,
                                                      std::string_view aBody) {
    return aTarget == kExplainPath ? explainRoute(mCore, aBody, std::chrono::steady_clock::now())
                                   : std::pair{ 200, mMetrics.exposition() };
  };
};

void limitHeldMemory()
{
  // Otherwise the C library raises the threshold with each long block that is freed, and keeps
  // later ones in its heap. The call fails for values out of range only.
  static_cast<void>(::mallopt(M_MMAP_THRESHOLD, kLongAllocationBytes));
}

Relay::Builder& Relay::Builder::options(RelayOptions aOptions)
{
  mOptions = std::move(aOptions);
  return *this;
}

Relay::Builder& Relay::Builder::headerCodec(const HeaderCodec* aHeaderCodec)
{
  mHeaderCodec = aHeaderCodec;
  return *this;
}

Relay::Builder& Relay::Builder::metrics(telemetry::Registry* aRegistry)
{
  mMetrics = aRegistry;
  return *this;
}

Relay::Builder& Relay::Builder::log(telemetry::EventLog* aLog)
{
  mLog = aLog;
  return *this;
}

std::unique_ptr<Relay> Relay::Builder::build()
{
  return std::make_unique<RelayImpl>(*this);
}

} // namespace boragepitch::relay
