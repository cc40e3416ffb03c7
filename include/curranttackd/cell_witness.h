#ifndef CURRANTTACKD_CELL_WITNESS_H
#define CURRANTTACKD_CELL_WITNESS_H

#include "curranttackd/cell.h"
#include "protocol/curranttack.pb-c.h"

/**
 * DOC: Questions between daemons on how long a pool's owner may act.
 *
 * coordination/witness.h decides; this passes questions and answers on.
 */

/** cp_on_witness_ask() - an owner, or the next one, asks this daemon */
void cp_on_witness_ask(
    struct cell *c, struct peer_link *link, const Currant__WitnessAsk *ask);

/** cp_on_witness_answer() - a witness answers this daemon */
void cp_on_witness_answer(struct cell *c, struct peer_link *link,
    const Currant__WitnessAnswer *answer);

#endif
