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
  /** Refuses new uploads and aborts waiting ones. */
  void stop();
  size_t load() const { return mLocalGate.load() + mCrossRegionGate.load(); }

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
  /** Uploads to other regions have their own queue, so that the slower link between regions does
   * not block uploads within the region. */
  UploadGate mLocalGate;
  UploadGate mCrossRegionGate;
};

} // namespace boragepitch::weights
