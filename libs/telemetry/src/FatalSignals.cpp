#include "telemetry/FatalSignals.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <ctime>

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <unistd.h>

namespace boragepitch::telemetry {

namespace {

constexpr int kMaxFrames = 24;
/** Ends the process if the handler itself waits for a lock that the fault left locked. */
constexpr unsigned kHandlerTimeSeconds = 1;

/** A line built without allocation; what does not fit is left out. */
class LineBuffer
{
public:
  void add(std::string_view aText)
  {
    size_t count = std::min(aText.size(), mBytes.size() - mSize);
    std::copy_n(aText.data(), count, mBytes.data() + mSize);
    mSize += count;
  }
  void add(uint64_t aNumber, int aBase)
  {
    std::array<char, 24> digits{};
    auto end = std::to_chars(digits.data(), digits.data() + digits.size(), aNumber, aBase).ptr;
    add({ digits.data(), static_cast<size_t>(end - digits.data()) });
  }
  std::string_view view() const { return { mBytes.data(), mSize }; }

private:
  std::array<char, 1024> mBytes{}; ///< Less than a pipe accepts at once.
  size_t mSize = 0;
};

/** What the handler needs, as it can be given no argument. */
struct Target
{
  int descriptor = -1;
  std::array<char, 200> prefix{};
  size_t prefixSize = 0;
  uintptr_t programBegin = 0;
  uintptr_t programEnd = 0;
};

Target sTarget;

/** Finds the addresses at which the program is loaded; it is the first object. */
int findProgram(dl_phdr_info* aInfo, size_t, void*)
{
  sTarget.programBegin = aInfo->dlpi_addr;
  for (int i = 0; i < aInfo->dlpi_phnum; ++i) {
    const auto& segment = aInfo->dlpi_phdr[i];
    if (segment.p_type == PT_LOAD) {
      sTarget.programEnd = std::max<uintptr_t>(
        sTarget.programEnd, aInfo->dlpi_addr + segment.p_vaddr + segment.p_memsz);
    }
  }
  return 1;
}

void addStack(LineBuffer& aLine)
{
  std::array<void*, kMaxFrames> frames{};
  int count = backtrace(frames.data(), kMaxFrames);
  aLine.add(" stack=");
  bool isFirst = true;
  for (int i = 0; i < count; ++i) {
    auto address = reinterpret_cast<uintptr_t>(frames[static_cast<size_t>(i)]);
    if (address < sTarget.programBegin || address >= sTarget.programEnd) {
      continue;
    }
    aLine.add(isFirst ? "0x" : ",0x");
    aLine.add(address - sTarget.programBegin, 16);
    isFirst = false;
  }
  if (isFirst) {
    aLine.add("-");
  }
}

/** Calls only functions that are safe in a signal handler, but for backtrace(), which is loaded
 * beforehand and then takes the dynamic linker's lock at most. */
void handleFatalSignal(int aSignal, siginfo_t* aInfo, void*)
{
  ::signal(SIGALRM, SIG_DFL);
  ::alarm(kHandlerTimeSeconds);
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  LineBuffer line;
  line.add("t=");
  line.add(static_cast<uint64_t>(now.tv_sec) * 1000 + static_cast<uint64_t>(now.tv_nsec) / 1000000,
           10);
  line.add(" ");
  line.add({ sTarget.prefix.data(), sTarget.prefixSize });
  line.add(" event=crashed signal=");
  line.add(static_cast<uint64_t>(aSignal), 10);
  line.add(" fault=0x");
  line.add(reinterpret_cast<uintptr_t>(aInfo->si_addr), 16);
  addStack(line);
  line.add("\n");
  pollfd descriptor{ .fd = sTarget.descriptor, .events = POLLOUT, .revents = 0 };
  if (::poll(&descriptor, 1, 0) > 0) {
    // Nothing is left to do about a line that cannot be written.
    static_cast<void>(!::write(sTarget.descriptor, line.view().data(), line.view().size()));
  }
  ::raise(aSignal); // SA_RESETHAND: ends the process when this handler returns.
}

} // namespace

void logFatalSignals(int aDescriptor, std::string_view aPrefix)
{
  sTarget.descriptor = aDescriptor;
  sTarget.prefixSize = std::min(aPrefix.size(), sTarget.prefix.size());
  std::copy_n(aPrefix.data(), sTarget.prefixSize, sTarget.prefix.data());
  dl_iterate_phdr(findProgram, nullptr);
  std::array<void*, 1> frame{};
  backtrace(frame.data(), 1); // The first call loads a library and allocates memory.
  struct sigaction action
  {};
  action.sa_sigaction = handleFatalSignal;
  action.sa_flags = static_cast<int>(SA_SIGINFO | SA_RESETHAND);
  sigemptyset(&action.sa_mask);
  for (int signal : { SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT }) {
    ::sigaction(signal, &action, nullptr);
  }
}

} // namespace boragepitch::telemetry
