#pragma once

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>

#include "EntryNotices.h"
#include "LoaderFleet.h"
#include "WeightLoader.h"
#include "platform/EngineControlClient.h"
#include "serving/ReportSchedule.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** Polls the engine's load over loopback and sends it to the entries as UDP datagrams; receives the
 * notices of entries on the same socket. */
class LoadReporter
{
public:
  LoadReporter(platform::EngineControlClient& aEngine,
               LoaderFleet& aFleet,
               WeightLoader& aWeights,
               EntryNotices& aNotices,
               telemetry::EventLog& aLog,
               serving::ReportIntervals aIntervals);
  ~LoadReporter();

  /** Receives the notices of entries at the address, and sends from it. */
  base::Status bind(const net::Address& aAddress);
  void start();
  void stop();
  /** Sends the latest report at once; may be called from any thread. */
  void announce();

private:
  void run();
  void receiveNotices(base::TimePoint aNow);
  void pollEngine(base::TimePoint aNow);
  /** The latest report with what the weight loader knows; needs mMutex. Empty before the first. */
  std::optional<serving::LoadReport> currentReport() const;
  void sendReport(base::TimePoint aNow);
  void send(const std::string& aText, const net::Address& aEntry) const;

  platform::EngineControlClient& mEngine;
  LoaderFleet& mFleet;
  WeightLoader& mWeights;
  EntryNotices& mNotices;
  telemetry::EventLog& mLog;
  int mSocket = -1;
  std::mutex mMutex; ///< Guards the members below.
  std::condition_variable mWake;
  bool mStopping = false;
  std::optional<serving::LoadReport> mLatest;
  serving::ReportSchedule mSchedule;
  bool mIsEngineReachable = true;
  std::thread mThread;
};

} // namespace boragepitch::tools
