#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <json/value.h>

#include "base/Time.h"
#include "control/FleetView.h"
#include "net/HttpServer.h"
#include "resources/ResourceStore.h"

namespace boragepitch::api {

/**
 * The resource API of docs/api.md on an HTTP server. Reads are answered from the fleet view;
 * writes are validated against the store's latest snapshot and committed at that revision.
 */
class ResourceApi
{
public:
  class Builder
  {
  public:
    /** Required; must outlive the API. */
    Builder& store(resources::ResourceStore& aStore);
    /** Required; must outlive the API. */
    Builder& fleet(const control::FleetView& aFleet);
    /** Keys that authorize writes; several may be valid at once so that keys can be rotated. */
    Builder& operatorKeys(std::vector<std::string> aKeys);
    /** Largest body, bytes (default 512 KiB). */
    Builder& maxBodyBytes(size_t aBytes);
    /** Largest number of changes in one batch (default 500). */
    Builder& maxBatch(size_t aCount);
    /** Largest number of concurrent watches (default 64). */
    Builder& maxWatches(size_t aCount);
    /** Largest number of changes kept for resuming watches (default 4,096). */
    Builder& maxLoggedChanges(size_t aCount);
    /** Interval of heartbeat comments on a watch without changes (default 5 s). */
    Builder& heartbeat(base::Milliseconds aInterval);
    /** Interval at which the fleet view is polled for a new revision (default 20 ms). */
    Builder& pollInterval(base::Milliseconds aInterval);
    /** Body of GET /api/v1/progress; called on connection threads. */
    Builder& progress(std::function<Json::Value()> aProgress);
    std::unique_ptr<ResourceApi> build();

  private:
    friend class ResourceApi;
    resources::ResourceStore* mStore = nullptr;
    const control::FleetView* mFleet = nullptr;
    std::vector<std::string> mKeys;
    size_t mMaxBodyBytes = 512 << 10;
    size_t mMaxBatch = 500;
    size_t mMaxWatches = 64;
    size_t mMaxLoggedChanges = 4096;
    base::Milliseconds mHeartbeat{ 5000 };
    base::Milliseconds mPollInterval{ 20 };
    std::function<Json::Value()> mProgress;
  };

  ~ResourceApi();
  ResourceApi(const ResourceApi&) = delete;
  ResourceApi& operator=(const ResourceApi&) = delete;

  /** Adds the routes below /api/v1 to a server that has not started. The API must outlive it. */
  void attach(net::HttpServer& aServer);
  /** Ends all watches, so that the server can stop; later watches are refused. */
  void stop();

private:
  struct Impl;
  explicit ResourceApi(const Builder& aBuilder);
  std::unique_ptr<Impl> mImpl;
};

} // namespace boragepitch::api
