#ifndef TESTS_UNIT_OWNER_NET_H
#define TESTS_UNIT_OWNER_NET_H

/*
 * The links of one daemon to others, and its clock, for tests of what it sends
 * over them. Nothing is delivered.
 */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "curranttackd/cell_peers.h"
}

struct peer_link {
	std::string vm;
	uint64_t serial;
	int64_t heard_us;
};

class OwnerNet
{
      public:
	explicit OwnerNet(const char *vm);
	~OwnerNet();

	/* In the replica, with a link unless it is the owner. */
	void add_daemon(const std::string &vm, const std::string &domain = "");
	void connect(const std::string &vm);
	/* Later calls may still name it. */
	struct peer_link *disconnect(const std::string &vm);

	int64_t now = 1000 * CLK_US_PER_S;
	struct fl_fleet fleet = {};
	struct cell *cell;
	std::map<std::string, struct peer_link *> links;
	std::vector<struct peer_link *> closed;

      private:
	uint64_t last_serial = 0;
};

/* The one that exists; there is one at a time. */
extern OwnerNet *owner_net;

#endif
