#ifndef COORDINATION_WITNESS_H
#define COORDINATION_WITNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/pool.h"

/**
 * DOC: How long a pool's owner may act without its lease being confirmed.
 *
 * Without witnesses, an owner that can't confirm its lease acts for
 * WT_UNCONFIRMED_LIMIT_US, and the next owner waits for that. With witnesses,
 * other daemons that the stored term names, it acts for WT_ALONE_LIMIT_US, and
 * for longer only while a majority of them answers, from a short time ago, that
 * it knows of no later owner. The next owner asks the witnesses to stop giving
 * such grants, and learns how long the last ones hold. A quorum of both sides
 * has a witness in common, so one that doesn't answer delays neither.
 *
 * A witness remembers what it granted and what it was asked to stop for as long
 * as its incarnation lasts; grants of another incarnation than the list names
 * don't count.
 */

#define WT_MAX_WITNESSES 3
/* An owner whose lease has not been confirmed for this long steps down. */
#define WT_UNCONFIRMED_LIMIT_US (10 * CLK_US_PER_S)
/* The same without a grant of its witnesses. */
#define WT_ALONE_LIMIT_US (3 * CLK_US_PER_S)
/* A grant holds for this long from when it was asked for. */
#define WT_GRANT_US (1500 * CLK_US_PER_MS)
/* Clocks of the daemons involved may be slow by 2% each. */
#define WT_GRANT_MARGIN_US (100 * CLK_US_PER_MS)
/* When nothing is known of the grants of a witness. */
#define WT_UNKNOWN INT64_MAX

/* Name of a daemon's VM and its end; a hash stands for one that is longer. */
#define WT_VM_BYTES 64

/**
 * struct wt_witness - a daemon that is asked whether an owner may go on
 * @vm: its VM
 * @incarnation: its incarnation; grants of others don't count
 */
struct wt_witness {
	char vm[WT_VM_BYTES];
	uint64_t incarnation;
};

/** struct wt_list - witnesses of one term, in any order */
struct wt_list {
	uint32_t count;
	struct wt_witness witness[WT_MAX_WITNESSES];
};

/**
 * struct wt_candidate - a daemon that may be chosen as a witness
 * @vm: its VM; only read while choosing
 * @domain: its failure domain; only read while choosing
 * @incarnation: its incarnation
 * @linked: there is a link to it
 * @large: it is on one of the largest VMs, to which all others have links
 */
struct wt_candidate {
	const char *vm;
	const char *domain;
	uint64_t incarnation;
	bool linked;
	bool large;
};

/**
 * struct wt_votes - a list, and until when each of its witnesses has granted
 * @list: witnesses
 * @until_us: by index in @list, or WT_UNKNOWN
 */
struct wt_votes {
	struct wt_list list;
	int64_t until_us[WT_MAX_WITNESSES];
};

/**
 * struct wt_permit - what an owner may rely on
 * @stored: the list that was stored last, as far as is known
 * @pending: a list whose write is not known to have been done, or to have failed
 * @has_pending: there is one
 */
struct wt_permit {
	struct wt_votes stored;
	struct wt_votes pending;
	bool has_pending;
};

/**
 * struct wt_memory - what a witness remembers of a pool
 * @revoked_term: highest term for which it was asked to stop
 * @granted_until_us: until when its last grant may hold
 */
struct wt_memory {
	uint32_t revoked_term;
	int64_t granted_until_us;
};

/**
 * struct wt_inquiry - how long the last owner may act, as asked by the next one
 * @votes: its witnesses
 * @claimed_us: a time after that at which its key was gone
 */
struct wt_inquiry {
	struct wt_votes votes;
	int64_t claimed_us;
};

/**
 * wt_choose() - choose witnesses
 * @current: the last choice; its members are preferred to others of their kind
 * @domain: failure domain of the owner
 * @candidate: daemons other than the owner's
 * @count: length of @candidate
 * @chosen: set to the choice
 *
 * Witnesses in different failure domains, and not in the owner's, go first. One
 * without a link is only chosen where there is no link at all.
 */
void wt_choose(const struct wt_list *current, const char *domain,
    const struct wt_candidate *candidate, uint32_t count,
    struct wt_list *chosen);

/** wt_equals() - whether two lists name the same witnesses */
bool wt_equals(const struct wt_list *a, const struct wt_list *b);

/** wt_find() - index of a VM in a list; -1 if it isn't a witness */
int32_t wt_find(const struct wt_list *list, const char *vm);

/** wt_permit_begin() - an ownership begins under the list of its claim */
void wt_permit_begin(struct wt_permit *p, const struct wt_list *stored);

/**
 * wt_permit_change() - another list is about to be written
 * @p: permit without a pending list
 * @list: its witnesses
 *
 * From now on only what both lists allow is allowed.
 */
void wt_permit_change(struct wt_permit *p, const struct wt_list *list);

/** wt_permit_changed() - the pending list is known to be stored */
void wt_permit_changed(struct wt_permit *p);

/**
 * wt_permit_granted() - a witness has granted
 * @p: permit
 * @witness: witness, and the incarnation that answered
 * @asked_us: when the question was sent
 */
void wt_permit_granted(
    struct wt_permit *p, const struct wt_witness *witness, int64_t asked_us);

/**
 * wt_may_act_until_us() - until when an owner may act
 * @p: permit
 * @confirmed_us: when its lease is known to have been in force
 */
int64_t wt_may_act_until_us(const struct wt_permit *p, int64_t confirmed_us);

/**
 * wt_grant() - a witness is asked by the owner of a term, whose key stands as
 * far as it knows
 * @m: its memory
 * @term: term of the owner
 * @now_us: time
 *
 * Return: whether it grants.
 */
bool wt_grant(struct wt_memory *m, uint32_t term, int64_t now_us);

/**
 * wt_revoke() - a witness is asked to stop granting
 * @m: its memory
 * @term: it grants nothing more for this term and earlier ones
 *
 * Return: until when its last grant may hold.
 */
int64_t wt_revoke(struct wt_memory *m, uint32_t term);

/** wt_inquire() - begin to find out how long the last owner may act */
void wt_inquire(
    struct wt_inquiry *q, const struct wt_list *list, int64_t claimed_us);

/** wt_on_revoked() - a witness tells until when its last grant may hold */
void wt_on_revoked(struct wt_inquiry *q, const char *vm, int64_t until_us);

/** wt_on_ended() - the named incarnation of a witness had ended by now */
void wt_on_ended(struct wt_inquiry *q, const char *vm, int64_t now_us);

/**
 * wt_last_owner_until_us() - until when the last owner may act
 * @q: inquiry
 * @slowest: set to the VM of the witness that decides it, or to ""
 */
int64_t wt_last_owner_until_us(
    const struct wt_inquiry *q, const char **slowest);

/** wt_is_settled() - whether no further answer can show that it stops sooner */
bool wt_is_settled(const struct wt_inquiry *q);

#endif
