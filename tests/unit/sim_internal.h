#ifndef TESTS_UNIT_SIM_INTERNAL_H
#define TESTS_UNIT_SIM_INTERNAL_H

/*
 * Shared by the files of the simulated cell: sim_world (clock, loops, log,
 * disruptions), sim_store (the store), sim_calls (daemons' calls to it),
 * sim_workers, sim_advice (the advice service), sim_formats (entries,
 * configuration, jobs), sim_callers (the HTTP server), sim_links (links between
 * daemons), sim_silent (connections that fall silent).
 */

#include "sim_cell.h"

constexpr int64_t kLatency = 1 * kSimMs;
constexpr int64_t kTick = 10 * kSimMs;
constexpr int64_t kHeartbeat = 1500 * kSimMs;
constexpr int64_t kContact = 3 * kSimS;
constexpr uint32_t kCores = 4000;
/* Of the wall clock, at the start of the simulated clock. */
constexpr int64_t kWallStart = 1700000000 * kSimS;

/* The loop of one life of a daemon. */
struct loop {
	uint64_t life;
};

extern const struct ks_ops sim_key_ops;
extern const struct fl_worker_ops sim_worker_ops;
extern const struct fl_advice_ops sim_advice_ops;

/* Of requests for advice, in queues "q" and "s". */
constexpr int64_t kAdviceTime = 700 * kSimMs;
constexpr int64_t kAdviceTimeEach = 10 * kSimMs;
constexpr int64_t kShortAdviceTime = 30 * kSimMs;
constexpr int64_t kShortAdviceTimeEach = kSimMs;
constexpr int64_t kTicket = 1500 * kSimMs;

/* Whether a ticket of the service lets a task start on that worker now. */
bool sim_is_valid_ticket(const std::string &ticket, const SimWorker &w);

/* A connection to a host for a call: a silent one, as long as one is kept. */
SimConnection sim_connect(SimDaemon &d, const std::string &host);
/* Whether what is sent on it now is lost. */
bool sim_loses_call(const SimDaemon &d, const SimConnection &c);
bool sim_loses_answer(const SimDaemon &d, const SimConnection &c);
/* All links of that life of a daemon, or a share of all links. */
void sim_sever_links(uint64_t life, uint32_t percent, SimWay way);

/* The clock of a worker, in the life that began then. */
int64_t sim_clock_ms(int64_t born_us, int64_t began_ms);

/* Forget what a life of a daemon had, as when it is killed. */
void sim_drop_requests(uint64_t life);
void sim_drop_links(uint64_t life, bool power);
/* Forget what the world had. */
void sim_clear_requests();
void sim_clear_links();

#endif
