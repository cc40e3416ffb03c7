#include "sim_internal.h"

#include <algorithm>
#include <set>

extern "C" {
#include "protocol/frame.h"
}

namespace
{

constexpr int64_t kLinkTimeout = 5 * kSimS;

} // namespace

struct peer_net {
	uint64_t life;
	struct peer_hooks hooks;
	void *arg;
	Currant__Hello hello;
	uint64_t next_serial;
};

struct peer_link {
	struct peer_net *net;
	uint64_t life;
	uint64_t serial;
	uint64_t other_life;
	struct peer_link *other;
	char vm[64];
	char address[64];
	bool established;
	bool opened; /* by this side */
	bool refused;
	bool closing;
	bool silent; /* what it sends is lost, its end as well */
	int64_t heard_us;
};

/* Open links; others point to memory that is freed. */
static std::set<struct peer_link *> sim_links;

static struct peer_link *
link_create(struct peer_net *net)
{
	struct peer_link *link = talloc_zero(net, struct peer_link);

	link->net = net;
	link->life = net->life;
	link->serial = ++net->next_serial;
	link->heard_us = sim_world->now;
	sim_links.insert(link);
	return link;
}

static bool
is_open(struct peer_link *link, uint64_t life)
{
	return sim_links.count(link) > 0 && link->life == life &&
	    sim_world->daemon_of(life) != nullptr;
}

static void
close_later(struct peer_link *link, int64_t us, bool refused)
{
	uint64_t life = link->life;

	sim_world->after_in(life, us, [=] {
		if (!is_open(link, life))
			return;
		link->refused = refused;
		peer_close(link);
	});
}

/* Whether the other side gets to know that it is closed. */
static bool
shows_its_end(struct peer_link *link)
{
	return link->established && !link->silent &&
	    is_open(link->other, link->other_life);
}

extern "C" struct peer_net *
peer_create(TALLOC_CTX *ctx, struct loop *l, int, const Currant__Hello *hello,
    const struct peer_hooks *hooks, void *arg)
{
	struct peer_net *net = talloc_zero(ctx, struct peer_net);

	net->life = l->life;
	net->hooks = *hooks;
	net->arg = arg;
	net->hello = *hello;
	sim_world->daemon_of(l->life)->net = net;
	return net;
}

static void
establish(struct peer_link *link, struct peer_link *other, const SimDaemon &d,
    bool opened)
{
	link->other = other;
	link->opened = opened;
	link->other_life = other->life;
	snprintf(link->vm, sizeof(link->vm), "%s", d.vm.c_str());
	link->established = true;
}

extern "C" struct peer_link *
peer_connect(struct peer_net *net, const char *address)
{
	struct peer_link *link = link_create(net);
	SimDaemon *from = sim_world->daemon_of(net->life);
	SimDaemon *to = nullptr;
	uint64_t life = net->life;

	snprintf(link->address, sizeof(link->address), "%s", address);
	for (auto &d : sim_world->daemons)
		to = d->vm == address ? d.get() : to;
	if (to == nullptr || !to->powered ||
	    !sim_world->reaches(from->domain, to->domain)) {
		close_later(link, kLinkTimeout, false);
		return link;
	}
	if (!to->up) {
		close_later(link, kLatency, true);
		return link;
	}
	sim_world->after_in(life, kLatency, [=] {
		if (!is_open(link, life) || !to->up)
			return;
		struct peer_link *other = link_create(to->net);

		establish(link, other, *to, true);
		establish(other, link, *from, false);
	});
	return link;
}

extern "C" bool
peer_send(struct peer_link *link, const Currant__Frame *frame)
{
	struct peer_link *other = link->other;
	uint64_t life = link->other_life;
	size_t bytes;
	uint8_t *data;
	SimDaemon *from = sim_world->daemon_of(link->life);
	SimDaemon *to = sim_world->daemon_of(life);

	if (link->closing || !link->established)
		return false;
	if (link->silent)
		return true;
	/* Bytes that a cut holds up are lost with the connection. */
	if (to == nullptr || !sim_world->reaches(from->domain, to->domain)) {
		close_later(link, kLinkTimeout, false);
		return true;
	}
	data = fr_pack(frame, &bytes);
	std::string text((const char *)data, bytes);
	free(data);
	sim_world->after_in(life, kLatency, [=] {
		Currant__Frame *copy;
		size_t used;

		if (!is_open(other, life) ||
		    fr_unpack((const uint8_t *)text.data(), text.size(), &used,
			&copy) != FR_OK)
			return;
		other->heard_us = sim_world->now;
		other->net->hooks.on_frame(other, copy, other->net->arg);
		currant__frame__free_unpacked(copy, NULL);
	});
	return true;
}

extern "C" bool
peer_established(const struct peer_link *link)
{
	return link->established;
}

extern "C" bool
peer_refused(const struct peer_link *link)
{
	return link->refused;
}

extern "C" const char *
peer_vm(const struct peer_link *link)
{
	return link->vm;
}

extern "C" const char *
peer_address(const struct peer_link *link)
{
	return link->address;
}

extern "C" uint64_t
peer_serial(const struct peer_link *link)
{
	return link->serial;
}

extern "C" int64_t
peer_heard_us(const struct peer_link *link)
{
	return link->heard_us;
}

extern "C" struct peer_link *
peer_find(struct peer_net *net, uint64_t serial)
{
	for (struct peer_link *link : sim_links) {
		if (link->net == net && link->serial == serial)
			return link;
	}
	return nullptr;
}

extern "C" void
peer_close(struct peer_link *link)
{
	uint64_t life = link->life;

	if (link->closing)
		return;
	link->closing = true;
	sim_links.erase(link);
	if (shows_its_end(link))
		close_later(link->other, kLatency, false);
	link->net->hooks.on_closed(link, link->net->arg);
	sim_world->after_in(life, 0, [link] { talloc_free(link); });
}

void
sim_drop_links(uint64_t life, bool power)
{
	std::vector<struct peer_link *> gone;

	for (struct peer_link *link : sim_links) {
		if (link->life == life)
			gone.push_back(link);
	}
	for (struct peer_link *link : gone) {
		if (shows_its_end(link))
			close_later(link->other,
			    power ? kLinkTimeout : kLatency, false);
		sim_links.erase(link);
	}
}

static bool
is_earlier(const struct peer_link *a, const struct peer_link *b)
{
	return std::make_pair(a->life, a->serial) <
	    std::make_pair(b->life, b->serial);
}

void
sim_sever_links(uint64_t life, uint32_t percent, SimWay way)
{
	std::vector<struct peer_link *> list;

	for (struct peer_link *link : sim_links) {
		if (link->opened && is_open(link->other, link->other_life) &&
		    (life == 0 || life == link->life ||
			life == link->other_life))
			list.push_back(link);
	}
	/* Not in the order of their addresses. */
	std::sort(list.begin(), list.end(), is_earlier);
	for (struct peer_link *link : list) {
		if (percent < 100 && !sim_world->chance(percent))
			continue;
		link->silent |= way != SimWay::kBack;
		link->other->silent |= way != SimWay::kThere;
	}
}

void
sim_clear_links()
{
	sim_links.clear();
}
