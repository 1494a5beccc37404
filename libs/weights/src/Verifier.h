#pragma once

#include "Context.h"

namespace boragepitch::weights {

/**
 * Thread that reads the chunks of manifests back from the host in order and computes the digest of
 * the full content. It starts with the contiguous chunks at the beginning of a manifest while the
 * rest is still being fetched.
 */
class Verifier
{
public:
  explicit Verifier(Context& aContext);

  void run();

private:
  struct Cursor
  {
    uint64_t generation = 0;
    uint32_t next = 0;
    base::Sha256 contentHash;
  };
  struct Step
  {
    std::shared_ptr<const Manifest> manifest;
    uint64_t generation;
  };

  std::optional<Step> nextStep();
  bool advance(const Step& aStep, Cursor& aCursor);
  void conclude(const Step& aStep, Cursor& aCursor);

  Context& mContext;
  std::map<ManifestId, Cursor> mCursors;
};

} // namespace boragepitch::weights
