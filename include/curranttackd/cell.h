#ifndef CURRANTTACKD_CELL_H
#define CURRANTTACKD_CELL_H

#include "coordination/drain.h"
#include "curranttackd/cell_settings.h"
#include "curranttackd/replica.h"
#include "transport/fleet.h"
#include "transport/http_server.h"
#include "transport/peer.h"

/**
 * DOC: What the parts of one daemon of the cell share: API for callers, pool
 * ownership, advice. cell_run.h creates them.
 *
 * Everything runs on a single event loop. Jobs, cancellations, progress and
 * pool ownership are items in the platform's key-value store, and every daemon
 * watches all of them. The owner of a pool schedules tasks on its workers.
 */

struct cp_host;
struct av_dispatcher;
struct rl_dispatcher;
struct rl_sender;
struct lk_resolver;
struct pn_links;
struct cc_frontend;
struct cm_driver;

/**
 * struct cell - state of one daemon
 * @settings: checked settings
 * @replica: local copy of the key space
 * @peers: accepts and opens connections to other daemons
 * @links: one connection to each member of the cell
 * @advice: spreads advice requests over the daemons
 * @relay: sends orders and renewals to workers, directly or through relays
 * @relay_senders: by link, the daemons that this one relays for
 * @lookup: asks pool owners for the state of jobs
 * @frontend: HTTP servers for callers, readiness checks and metrics
 * @pools: known pools by name, owned or not
 * @maintenance: in-flight writes of maintenance waves; NULL until first used
 * @incarnation: distinguishes this process from earlier ones on the same VM
 * @follows_earlier: @incarnation is higher than all that terms name for this VM
 * @member_lease: lease of this daemon's member entry; 0 without one
 * @member_call_in_flight: a store call about the member entry is unanswered
 * @member_dirty: the stored member entry is out of date
 * @member_next_us: when the member entry is next written or its lease renewed
 * @tick: timer of all parts
 * @slow_tick: @tick runs at the interval of idle daemons
 * @draining: the daemon was asked to stop
 * @drain_started_us: when it was asked to
 * @drain: the steps since then
 * @store_answered_us: when the key space last answered
 * @peers_address: "IP:PORT" that the socket for peers is bound to
 */
struct cell {
	struct cell_settings *settings;
	struct loop *loop;
	struct fl_fleet *fleet;
	struct replica *replica;
	struct peer_net *peers;
	struct pn_links *links;
	struct av_dispatcher *advice;
	struct rl_dispatcher *relay;
	struct rl_sender *relay_senders;
	struct lk_resolver *lookup;
	struct cc_frontend *frontend;
	struct cp_host *pools;
	struct cm_driver *maintenance;
	uint64_t incarnation;
	bool follows_earlier;
	uint64_t member_lease;
	bool member_call_in_flight;
	bool member_dirty;
	int64_t member_next_us;
	struct loop_call *tick;
	bool slow_tick;
	bool draining;
	int64_t drain_started_us;
	struct dr_drain drain;
	int64_t store_answered_us;
	char peers_address[64];
};

/** cell_ignore_answer() - callback for writes whose outcome the watch shows */
void cell_ignore_answer(const struct ks_response *a, void *arg);

/**
 * cell_begin_incarnation() - declare everything done so far as finished
 * @c: cell; must not own or claim a pool
 *
 * Called after this daemon lost a pool. The higher incarnation tells the next
 * owner that the previous one has stopped, so it waits for a shorter time than
 * it would for an owner that may be frozen and resume.
 */
void cell_begin_incarnation(struct cell *c);

/**
 * cell_wall_to_steady_us() - offset from the wall clock to the steady clock
 *
 * Return: microseconds to add to a wall-clock time.
 */
int64_t cell_wall_to_steady_us(void);

#endif
