#include "LoaderNotifier.h"

#include <algorithm>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace boragepitch::tools {

namespace {
/** Copies of each notice, since datagrams may be lost. */
constexpr int kCopies = 2;
} // namespace

UdpNoticeSender::UdpNoticeSender()
  : mSocket(::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0))
{
}

UdpNoticeSender::~UdpNoticeSender()
{
  if (mSocket >= 0) {
    ::close(mSocket);
  }
}

void UdpNoticeSender::send(std::string_view aText, const net::Address& aLoader)
{
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<uint16_t>(aLoader.port));
  inet_pton(AF_INET, aLoader.host.c_str(), &target.sin_addr);
  // A failed send counts as a lost datagram: the loader reads the store later.
  static_cast<void>(::sendto(mSocket,
                             aText.data(),
                             aText.size(),
                             0,
                             reinterpret_cast<const sockaddr*>(&target),
                             sizeof(target)));
}

LoaderNotifier::LoaderNotifier(serving::EntryIdentity aSelf,
                               net::Address aReports,
                               serving::SubsetOptions aSubset,
                               NoticeSender& aSender)
  : mSender(aSender)
  , mNotice{ std::move(aSelf), std::move(aReports), {} }
  , mSubset(aSubset)
{
}

std::string LoaderNotifier::notice() const
{
  return serving::encode(mNotice);
}

void LoaderNotifier::sendTo(const net::Address& aLoader, const std::string& aText)
{
  for (int copy = 0; copy < kCopies; ++copy) {
    mSender.send(aText, aLoader);
  }
}

void LoaderNotifier::setNodes(std::span<const serving::EntryIdentity> aOtherEntries,
                              const std::map<std::string, LoaderRow>& aLoaders)
{
  std::lock_guard lock(mMutex);
  std::vector<serving::EntryIdentity> entries(aOtherEntries.begin(), aOtherEntries.end());
  entries.push_back(mNotice.entry);
  mSubset.setEntries(entries);
  std::string text = notice();
  for (const auto& [name, row] : aLoaders) {
    if (!mLoaders.contains(name)) {
      sendTo(row.weights, text);
    }
  }
  mLoaders = aLoaders;
}

void LoaderNotifier::declareVersion(const std::string& aModel, uint64_t aVersion)
{
  std::lock_guard lock(mMutex);
  uint64_t& newest = mNotice.weightVersions[aModel];
  if (aVersion <= newest) {
    return;
  }
  newest = aVersion;
  std::string text = notice();
  for (const auto& [name, row] : mLoaders) {
    if (mSubset.usesEndpoint(mNotice.entry.name, name, row.region)) {
      sendTo(row.weights, text);
    }
  }
}

} // namespace boragepitch::tools
