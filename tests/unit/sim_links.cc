#include "sim_internal.h"

#include <algorithm>
#include <set>

extern "C" {
#include "common/log.h"
#include "coordination/link_alive.h"
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
	struct la_pause pause;
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
	struct la_link alive;
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

static void
deliver_later(struct peer_link *link, const std::string &text)
{
	struct peer_link *other = link->other;
	uint64_t life = link->other_life;

	sim_world->after_in(life, kLatency, [=] {
		Currant__Frame *copy;
		size_t used;

		if (!is_open(other, life))
			return;
		other->heard_us = sim_world->now;
		la_on_heard(&other->alive, sim_world->now);
		/* A heartbeat. */
		if (text.empty())
			return;
		if (fr_unpack((const uint8_t *)text.data(), text.size(), &used,
			&copy) != FR_OK)
			abort();
		other->net->hooks.on_frame(other, copy, other->net->arg);
		currant__frame__free_unpacked(copy, NULL);
	});
}

static bool
reaches_other(const struct peer_link *link)
{
	const SimDaemon *from = sim_world->daemon_of(link->life);
	const SimDaemon *to = sim_world->daemon_of(link->other_life);

	return to != nullptr && sim_world->reaches(from->domain, to->domain);
}

static void
check_link(struct peer_link *link, bool may_be_unread)
{
	int64_t now_us = sim_world->now;

	switch (la_check(&link->alive, may_be_unread, now_us)) {
	case LA_NONE:
		break;
	case LA_SEND_HEARTBEAT:
		la_on_sent(&link->alive, now_us);
		if (!link->silent && reaches_other(link))
			deliver_later(link, "");
		break;
	case LA_CLOSE:
		sim_world->silent_links_closed++;
		lg_event(LG_WARN, "peer", "link_silent", "peer", link->vm,
		    "unheard_ms", lg_i64((now_us - link->heard_us) / kSimMs),
		    NULL);
		peer_close(link);
		break;
	}
}

static bool
is_earlier(const struct peer_link *a, const struct peer_link *b)
{
	return std::make_pair(a->life, a->serial) <
	    std::make_pair(b->life, b->serial);
}

/* Not in the order of their addresses. */
static std::vector<struct peer_link *>
sorted(std::vector<struct peer_link *> list)
{
	std::sort(list.begin(), list.end(), is_earlier);
	return list;
}

static void
check_links_later(struct peer_net *net)
{
	sim_world->after_in(net->life, LA_CHECK_US, [=] {
		bool may_be_unread =
		    la_may_be_unread(&net->pause, sim_world->now);
		std::vector<struct peer_link *> list;

		for (struct peer_link *link : sim_links) {
			if (link->net == net)
				list.push_back(link);
		}
		for (struct peer_link *link : sorted(list)) {
			if (!link->closing)
				check_link(link, may_be_unread);
		}
		check_links_later(net);
	});
}

extern "C" struct peer_net *
peer_create(TALLOC_CTX *ctx, struct loop *l, int, const Currant__Hello *hello,
    const struct peer_hooks *hooks, void *arg)
{
	struct peer_net *net = talloc_zero(ctx, struct peer_net);
	SimDaemon *d = sim_world->daemon_of(l->life);

	net->life = l->life;
	net->hooks = *hooks;
	net->arg = arg;
	net->hello = *hello;
	net->hello.heartbeats = sim_world->options.older.count(d->index) == 0;
	d->net = net;
	check_links_later(net);
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
	if (link->net->hello.heartbeats && other->net->hello.heartbeats)
		la_start(&link->alive, sim_world->now);
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
	size_t bytes;
	uint8_t *data;

	if (link->closing || !link->established)
		return false;
	la_on_sent(&link->alive, sim_world->now);
	if (link->silent)
		return true;
	/* Bytes that a cut holds up are lost with the connection. */
	if (!reaches_other(link)) {
		close_later(link, kLinkTimeout, false);
		return true;
	}
	data = fr_pack(frame, &bytes);
	std::string text((const char *)data, bytes);
	free(data);
	deliver_later(link, text);
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
	for (struct peer_link *link : sorted(list)) {
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
