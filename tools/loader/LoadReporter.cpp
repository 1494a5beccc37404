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
                           serving::ReportIntervals aIntervals)
  : mEngine(aEngine)
  , mFleet(aFleet)
  , mWeights(aWeights)
  , mNotices(aNotices)
  , mLog(aLog)
  , mSocket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
  , mSchedule(aIntervals)
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
    mWake.wait_for(lock, mSchedule.nextRead(currentReport()), [this] { return mStopping; });
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

std::optional<serving::LoadReport> LoadReporter::currentReport() const
{
  auto report = mLatest;
  if (report) {
    report->isSwitching = report->isSwitching || mWeights.isSwitching();
    report->switchesSoon = mWeights.switchesSoon();
  }
  return report;
}

void LoadReporter::sendReport(base::TimePoint aNow)
{
  std::string text;
  auto audience = serving::ReportAudience::Nobody;
  {
    std::lock_guard lock(mMutex);
    auto report = currentReport();
    if (!report) {
      return;
    }
    text = serving::encode(*report);
    audience = mSchedule.audience(*report, text, aNow);
  }
  if (audience == serving::ReportAudience::Nobody) {
    return;
  }
  for (const ReportTarget& entry : mFleet.reportTargets()) {
    if (entry.usesEngine || audience == serving::ReportAudience::Everyone) {
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
