#ifndef TESTS_UNIT_TAKEOVER_INTERNAL_H
#define TESTS_UNIT_TAKEOVER_INTERNAL_H

/*
 * Shared by the files of the model of takeovers: takeover_model (events, look-ups),
 * takeover_workers, takeover_starts (orders that a worker carries out),
 * takeover_checks (what must never happen), takeover_jobs, takeover_owners (claims
 * and passes), takeover_commits (the store), takeover_calls (an owner's calls of
 * workers and of the advice service), takeover_witness, takeover_faults.
 */

#include "takeover_model.h"

constexpr int64_t kMs = CLK_US_PER_MS;
constexpr int64_t kS = CLK_US_PER_S;
constexpr int64_t kTick = 10 * kMs;
constexpr int64_t kCapacity = 4000;
constexpr int64_t kCpu = 1000;
constexpr int64_t kNever = INT64_MAX;
constexpr const char *kKinds[] = {"big", "small"};
constexpr int64_t kMaxHoldMs = 10000;
constexpr uint32_t kMaxAttempts = 3;

/* The reference that a task's name stands for. */
struct jb_ref ref_of(const std::string &task);

#endif
