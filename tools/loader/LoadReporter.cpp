#include "LoadReporter.h"

#include <array>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "serving/PeerMessage.h"

namespace boragepitch::tools {

namespace {

using namespace std::chrono_literals;

/** An unchanged report is sent again after this time: datagrams may be lost and reports expire. */
constexpr base::Milliseconds kResendInterval = 600ms;
/** Interval of the reports to entries that do not use the engine: they only look for spare slots,
 * and ignore reports older than twice this time. */
constexpr base::Milliseconds kSparseInterval = 750ms;
/** Polling interval during a switch, so that entries soon learn that the engine is ready again. */
constexpr base::Milliseconds kSwitchPollInterval = 40ms;

constexpr size_t kMaxDatagramBytes = 2048;
/** Bounds the time that a flood of datagrams can take from the reports. */
constexpr int kMaxNoticesPerPoll = 64;

sockaddr_in socketAddress(const net::Address& aAddress)
{
  sockaddr_in socket{};
  socket.sin_family = AF_INET;
  socket.sin_port = htons(static_cast<uint16_t>(aAddress.port));
  inet_pton(AF_INET, aAddress.host.c_str(), &socket.sin_addr);
  return socket;
}

} // namespace

LoadReporter::LoadReporter(platform::EngineControlClient& aEngine,
                           LoaderFleet& aFleet,
                           WeightLoader& aWeights,
                           EntryNotices& aNotices,
                           telemetry::EventLog& aLog,
                           base::Milliseconds aInterval)
  : mEngine(aEngine)
  , mFleet(aFleet)
  , mWeights(aWeights)
  , mNotices(aNotices)
  , mLog(aLog)
  , mInterval(aInterval)
  , mSocket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
{
}

LoadReporter::~LoadReporter()
{
  stop();
  if (mSocket >= 0) {
    ::close(mSocket);
  }
}

void LoadReporter::start()
{
  mThread = std::thread([this] { run(); });
}

void LoadReporter::stop()
{
  {
    std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mWake.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void LoadReporter::run()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    lock.unlock();
    auto now = std::chrono::steady_clock::now();
    receiveNotices(now);
    mNotices.step(now);
    pollEngine(now);
    mLog.flush(now);
    lock.lock();
    auto interval = mWeights.isSwitching() ? std::min(mInterval, kSwitchPollInterval) : mInterval;
    mWake.wait_for(lock, interval, [this] { return mStopping; });
  }
}

base::Status LoadReporter::bind(const net::Address& aAddress)
{
  sockaddr_in own = socketAddress(aAddress);
  if (::bind(mSocket, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) != 0) {
    return base::fail(base::ErrorKind::Unavailable,
                      aAddress.toString(),
                      "cannot receive datagrams: " + std::generic_category().message(errno),
                      "free the address or correct the setting");
  }
  return {};
}

void LoadReporter::receiveNotices(base::TimePoint aNow)
{
  std::array<char, kMaxDatagramBytes> datagram{};
  for (int count = 0; count < kMaxNoticesPerPoll; ++count) {
    ssize_t size = ::recv(mSocket, datagram.data(), datagram.size(), 0);
    if (size < 0) {
      return; // Nothing is waiting.
    }
    mNotices.receive({ datagram.data(), static_cast<size_t>(size) }, aNow);
  }
}

void LoadReporter::pollEngine(base::TimePoint aNow)
{
  auto report = mEngine.report();
  if (report.has_value() != mIsEngineReachable) {
    mIsEngineReachable = report.has_value();
    mLog.write(telemetry::EventClass::Critical,
               mIsEngineReachable ? "engine_regained" : "engine_lost",
               { { "reason", report ? "-" : report.error().describe() } },
               aNow);
  }
  if (!report) {
    return;
  }
  mWeights.onReport(*report, aNow);
  {
    std::lock_guard lock(mMutex);
    mLatest = report->load;
  }
  sendReport(aNow);
}

void LoadReporter::announce()
{
  sendReport(std::chrono::steady_clock::now());
}

void LoadReporter::sendReport(base::TimePoint aNow)
{
  std::string text;
  bool toAll = false;
  {
    std::lock_guard lock(mMutex);
    if (!mLatest) {
      return;
    }
    serving::LoadReport report = *mLatest;
    report.isSwitching = report.isSwitching || mWeights.isSwitching();
    report.switchesSoon = mWeights.switchesSoon();
    text = serving::encode(report);
    bool isSwitchNews = report.isSwitching != mSentSwitching;
    if (text == mSentText && aNow - mSentAt < kResendInterval) {
      return;
    }
    toAll = isSwitchNews || aNow - mSentToAllAt >= kSparseInterval;
    mSentText = text;
    mSentAt = aNow;
    mSentToAllAt = toAll ? aNow : mSentToAllAt;
    mSentSwitching = report.isSwitching;
  }
  for (const ReportTarget& entry : mFleet.reportTargets()) {
    if (entry.usesEngine || toAll) {
      send(text, entry.address);
    }
  }
}

void LoadReporter::send(const std::string& aText, const net::Address& aEntry) const
{
  sockaddr_in target = socketAddress(aEntry);
  // A failed send is ignored: the next report replaces the datagram.
  static_cast<void>(::sendto(mSocket,
                             aText.data(),
                             aText.size(),
                             0,
                             reinterpret_cast<const sockaddr*>(&target),
                             sizeof(target)));
}

} // namespace boragepitch::tools
