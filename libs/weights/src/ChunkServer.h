#pragma once

#include "Context.h"
#include "net/HttpServer.h"

namespace boragepitch::weights {

/** Serves manifests, bitmaps and chunks to peers. */
class ChunkServer
{
public:
  explicit ChunkServer(Context& aContext);

  void attach(net::HttpServer& aServer);
  /** Refuses new uploads and ends those that wait. */
  void stop();
  size_t load() const { return mLocal.load() + mOutside.load(); }

private:
  net::HttpResponse manifest(const net::HttpRequest& aRequest);
  net::HttpResponse have(const net::HttpRequest& aRequest);
  net::HttpResponse chunk(const net::HttpRequest& aRequest);
  net::HttpResponse refuse(const UploadGate& aGate, uint32_t aChunkSize);
  size_t waitingLimit(uint32_t aChunkSize) const;
  net::StreamEnd send(net::StreamWriter& aWriter,
                      UploadGate::Ticket& aTicket,
                      const Manifest& aManifest,
                      uint32_t aChunk,
                      bool aCrossRegion);
  std::shared_ptr<const ChunkBlock> load(const Manifest& aManifest, uint32_t aChunk);

  Context& mContext;
  /** Chunks for other regions have a queue of their own, since the slower link between regions must
   * not hold up the uplink. */
  UploadGate mLocal;
  UploadGate mOutside;
};

} // namespace boragepitch::weights
