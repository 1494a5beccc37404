#pragma once

#include <map>
#include <mutex>
#include <span>
#include <string>

#include "NodeRows.h"
#include "serving/EntrySubset.h"
#include "serving/PeerMessage.h"
#include "telemetry/EventLog.h"

namespace boragepitch::tools {

/** Sends datagrams to loaders. */
class NoticeSender
{
public:
  virtual ~NoticeSender() = default;
  virtual void send(std::string_view aText, const net::Address& aLoader) = 0;
};

/** Sends from a UDP socket of its own. */
class UdpNoticeSender final : public NoticeSender
{
public:
  UdpNoticeSender();
  ~UdpNoticeSender() override;
  UdpNoticeSender(const UdpNoticeSender&) = delete;
  UdpNoticeSender& operator=(const UdpNoticeSender&) = delete;
  void send(std::string_view aText, const net::Address& aLoader) override;

private:
  const int mSocket;
};

/**
 * Tells loaders what they would learn late from the store, since they seldom read it: that this
 * entry exists, and which versions of weights were declared. Each loader hears of a version from a
 * few entries. Thread-safe.
 */
class LoaderNotifier
{
public:
  LoaderNotifier(serving::EntryIdentity aSelf,
                 net::Address aReports,
                 serving::SubsetOptions aSubset,
                 NoticeSender& aSender);

  /** Sets the known nodes; this entry announces itself to loaders that it did not know. */
  void setNodes(std::span<const serving::EntryIdentity> aOtherEntries,
                const std::map<std::string, LoaderRow>& aLoaders);
  void declareVersion(const std::string& aModel, uint64_t aVersion);

private:
  std::string notice() const;
  void sendTo(const net::Address& aLoader, const std::string& aText);

  NoticeSender& mSender;
  std::mutex mMutex; ///< Guards the members below.
  serving::EntryNotice mNotice;
  serving::EntrySubset mSubset;
  std::map<std::string, LoaderRow> mLoaders; ///< By name.
};

} // namespace boragepitch::tools
