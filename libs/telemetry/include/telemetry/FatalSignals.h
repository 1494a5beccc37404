#pragma once

#include <string_view>

namespace boragepitch::telemetry {

/**
 * From now on a signal that ends the process because of a fault in it (SIGSEGV, SIGBUS, SIGILL,
 * SIGFPE, SIGABRT) first writes one line "t=<ms> <aPrefix> event=crashed signal=<number>
 * fault=<address> stack=<offset>,..." to a descriptor. The offsets are those of return addresses in
 * the program, innermost first, as addr2line takes them. The line is left out if the descriptor
 * would block, or if the fault is a stack that is used up. Call once, before other threads start.
 * @param aPrefix fields of each line, such as "node=e1"; at most 200 bytes are kept.
 */
void logFatalSignals(int aDescriptor, std::string_view aPrefix);

} // namespace boragepitch::telemetry
