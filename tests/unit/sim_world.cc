#include "sim_internal.h"

#include <algorithm>
#include <csignal>
#include <cstdarg>

extern "C" {
#include "common/log.h"
#include "curranttackd/cell_run.h"
}

SimWorld *sim_world;

SimWorld::SimWorld(uint64_t seed, size_t daemon_count, size_t worker_count,
    SimObserver *observer, const SimOptions &options)
    : options(options), cancelled(this), store(this), seen(observer), rng(seed),
      clocks(seed), late_rng(seed ^ 0x6c617465ULL)
{
	static const char *const domains[] = {"a", "b", "c"};

	sim_world = this;
	store.put("op/config", "1");
	for (size_t i = 0; i < daemon_count; i++) {
		auto d = std::make_unique<SimDaemon>();

		d->index = i;
		d->vm = "vm-" + std::to_string(i);
		d->domain = domains[i % 3];
		if (i < options.cpu_mcpu.size())
			d->cpu_mcpu = options.cpu_mcpu[i];
		daemons.push_back(std::move(d));
	}
	for (size_t i = 0; i < worker_count; i++) {
		auto wk = std::make_unique<SimWorker>();

		wk->id = "w" + std::to_string(i);
		wk->vm = "vm-of-" + wk->id;
		wk->domain = domains[i % 3];
		wk->born_us = now - (int64_t)i * kSimS;
		wk->clock_began_ms = clocks.first_ms();
		wk->seen_us = now - kHeartbeat;
		workers.push_back(std::move(wk));
	}
	for (size_t i = 0; i < daemon_count; i++)
		start(i);
	after(kTick, [this] { tick(); });
}

void
SimWorld::after_in(uint64_t life, int64_t us, std::function<void()> action)
{
	events.push({now + us, next_event++, life, std::move(action)});
}

void
SimWorld::after(int64_t us, std::function<void()> action)
{
	after_in(0, us, std::move(action));
}

SimDaemon *
SimWorld::daemon_of(uint64_t life)
{
	for (auto &d : daemons) {
		if (d->up && d->life == life)
			return d.get();
	}
	return nullptr;
}

void
SimWorld::run_until(int64_t us)
{
	while (!events.empty() && events.top().at <= us) {
		Event e = events.top();
		SimDaemon *d = nullptr;

		events.pop();
		now = std::max(now, e.at);
		if (e.life != 0) {
			d = daemon_of(e.life);
			if (d == nullptr)
				continue;
		}
		if (d != nullptr && now < d->frozen_until_us) {
			e.at = d->frozen_until_us;
			events.push(e);
			continue;
		}
		acting = d;
		e.action();
		acting = nullptr;
	}
	now = us;
}

uint64_t
SimWorld::random(uint64_t below)
{
	return rng() % below;
}

bool
SimWorld::chance(uint32_t percent)
{
	return random(100) < percent;
}

void
SimWorld::start(size_t index)
{
	SimDaemon &d = *daemons[index];

	if (d.up)
		return;
	d.up = true;
	d.powered = true;
	d.life = next_life++;
	d.frozen_until_us = 0;
	d.called.clear();
	d.silent.clear();
	d.trouble_us = std::max(d.trouble_us, now);
	cancelled.on_disruption(0);
	d.settings = {};
	d.settings.vm = const_cast<char *>(d.vm.c_str());
	d.settings.domain = const_cast<char *>(d.domain.c_str());
	d.settings.cpu_mcpu = d.cpu_mcpu;
	d.settings.link_kbps = 1000000;
	d.settings.callers_address = const_cast<char *>("callers");
	d.settings.ready_address = const_cast<char *>("ready");
	d.settings.peers_address = const_cast<char *>("peers");
	d.settings.store_address = const_cast<char *>("store");
	d.settings.max_lease_ms = 10000;
	d.settings.grace_us = 6 * kSimS;
	d.settings.report_interval_us = kHeartbeat;
	d.settings.report_delay_us = kContact;
	d.settings.keep_ended_us = options.keep_ended_us;
	d.settings.relay_above_workers = options.relay_above_workers;
	d.settings.small_cell_daemons = options.small_cell_daemons;
	d.settings.max_connections = 100;
	d.settings.max_value_bytes = 1 << 20;
	booting = d.life;
	if (cell_run(&d.settings) != 0)
		abort();
	booting = 0;
}

void
SimWorld::compact()
{
	store.compact();
	mark_store_trouble(0);
}

void
SimWorld::mark_store_trouble(int64_t us)
{
	store_trouble_us = std::max(store_trouble_us, now + us);
	cancelled.on_disruption(us);
}

void
SimWorld::store_trouble(StoreTrouble kind, int64_t us)
{
	troubles[kind] = std::max(troubles[kind], now + us);
	mark_store_trouble(us);
}

void
SimWorld::store_trouble_of(size_t index, StoreTrouble kind, int64_t us)
{
	daemons[index]->store[kind] = now + us;
	mark_store_trouble(us);
}

bool
SimWorld::store_has(size_t index, StoreTrouble kind) const
{
	auto all = troubles.find(kind);
	auto own = daemons[index]->store.find(kind);

	return (all != troubles.end() && now < all->second) ||
	    (own != daemons[index]->store.end() && now < own->second);
}

void
SimWorld::terminate(size_t index)
{
	SimDaemon &d = *daemons[index];

	if (!d.up)
		return;
	d.trouble_us = std::max(d.trouble_us, now);
	cancelled.on_disruption(0);
	after_in(d.life, 0, [&d] { d.on_sigterm(); });
}

void
SimWorld::freeze(size_t index, int64_t us)
{
	SimDaemon &d = *daemons[index];

	d.frozen_until_us = std::max(d.frozen_until_us, now + us);
	d.trouble_us = std::max(d.trouble_us, d.frozen_until_us);
	cancelled.on_disruption(us);
}

void
SimWorld::cut_domain(const std::string &domain, int64_t us)
{
	cut_domains[domain] = now + us;
	cancelled.on_disruption(us);
	for (auto &d : daemons) {
		if (d->domain == domain)
			d->trouble_us = std::max(d->trouble_us, now + us);
	}
}

void
SimWorld::cut_path(const std::string &from, const std::string &to, int64_t us)
{
	cut_paths[{from, to}] = now + us;
	cancelled.on_disruption(us);
}

void
SimWorld::call_trouble(const SimCallTrouble &trouble)
{
	calls = trouble;
	cancelled.on_disruption(trouble.until_us - now);
}

bool
SimWorld::loses_call()
{
	return now < calls.until_us && late_rng() % 1000 < calls.lost_per_mille;
}

bool
SimWorld::loses_answer()
{
	return now < calls.until_us &&
	    late_rng() % 1000 < calls.unanswered_per_mille;
}

void
SimWorld::heal()
{
	troubles.clear();
	cut_domains.clear();
	cut_paths.clear();
	calls = {};
	cancelled.on_disruption(0);
	store.leases_paused = false;
	for (auto &d : daemons) {
		d->store.clear();
		d->frozen_until_us = 0;
		start(d->index);
	}
	for (size_t i = 0; i < workers.size(); i++)
		revive(i);
}

bool
SimWorld::reaches_store(const std::string &domain) const
{
	auto cut = cut_domains.find(domain);

	return cut == cut_domains.end() || now >= cut->second;
}

bool
SimWorld::reaches(const std::string &from, const std::string &to) const
{
	auto cut = cut_paths.find({from, to});

	if (cut != cut_paths.end() && now < cut->second)
		return false;
	return from == to || (reaches_store(from) && reaches_store(to));
}

bool
SimWorld::is_in_touch(const SimDaemon &d) const
{
	return now >= d.trouble_us + kContact &&
	    now >= store_trouble_us + kContact;
}

void
SimWorld::kill(size_t index, bool power)
{
	SimDaemon &d = *daemons[index];

	if (!d.up)
		return;
	d.up = false;
	d.powered = !power;
	d.trouble_us = std::max(d.trouble_us, now);
	cancelled.on_disruption(0);
	sim_drop_links(d.life, power);
	sim_drop_requests(d.life);
	talloc_free(d.cell);
	d.cell = nullptr;
}

SimWorld::~SimWorld()
{
	for (auto &d : daemons)
		talloc_free(d->cell);
	sim_clear_links();
	sim_clear_requests();
	sim_world = nullptr;
}

/* --- clock and loop --- */

extern "C" int64_t
clk_now_us(void)
{
	return sim_world->now;
}

extern "C" int64_t
clk_wall_us(void)
{
	return kWallStart + sim_world->now + sim_world->wall_step_us;
}

struct loop_call {
	uint64_t life;
	int64_t interval_us;
	void (*fn)(void *arg);
	void *arg;
};

extern "C" struct loop *
loop_create(TALLOC_CTX *ctx)
{
	struct loop *l = talloc_zero(ctx, struct loop);

	l->life = sim_world->booting;
	return l;
}

extern "C" struct tevent_context *
loop_ev(struct loop *)
{
	return nullptr;
}

extern "C" void
loop_run(struct loop *)
{
}

extern "C" void
loop_stop(struct loop *l)
{
	SimDaemon *d = sim_world->daemon_of(l->life);
	size_t index = d->index;

	sim_world->after_in(
	    l->life, 0, [index] { sim_world->kill(index, false); });
}

extern "C" struct tevent_signal *
_tevent_add_signal(struct tevent_context *, TALLOC_CTX *, int signum, int,
    tevent_signal_handler_t handler, void *arg, const char *, const char *)
{
	SimDaemon *d = sim_world->daemon_of(sim_world->booting);

	if (signum == SIGTERM)
		d->on_sigterm = [=] {
			handler(nullptr, nullptr, SIGTERM, 1, nullptr, arg);
		};
	return nullptr;
}

extern "C" void
loop_after(struct loop *l, int64_t delay_us, void (*fn)(void *arg), void *arg)
{
	sim_world->after_in(
	    l->life, std::max<int64_t>(delay_us, 0), [=] { fn(arg); });
}

static void
repeat(struct loop_call *c)
{
	sim_world->after_in(c->life, c->interval_us, [c] {
		uint64_t life = c->life;

		c->fn(c->arg);
		if (sim_world->daemon_of(life) != nullptr)
			repeat(c);
	});
}

extern "C" struct loop_call *
loop_interval(
    struct loop *l, int64_t interval_us, void (*fn)(void *arg), void *arg)
{
	struct loop_call *c = talloc_zero(l, struct loop_call);

	*c = {l->life, interval_us, fn, arg};
	repeat(c);
	return c;
}

extern "C" int
loop_set_interval(struct loop_call *c, int64_t interval_us)
{
	c->interval_us = interval_us;
	return 0;
}

extern "C" int
loop_every(
    struct loop *l, int64_t interval_us, void (*fn)(void *arg), void *arg)
{
	return loop_interval(l, interval_us, fn, arg) != nullptr ? 0 : -1;
}

/* --- log --- */

extern "C" void
lg_event(enum lg_level level, const char *module, const char *event, ...)
{
	const char *key;
	va_list args;

	if (sim_world == nullptr || !sim_world->verbose || level == LG_DEBUG)
		return;
	fprintf(stderr, "%9.3f %s %s %s",
	    (double)(sim_world->now - 1000 * kSimS) / (double)kSimS,
	    sim_world->acting != nullptr ? sim_world->acting->vm.c_str() : "-",
	    module, event);
	va_start(args, event);
	while ((key = va_arg(args, const char *)) != nullptr) {
		const char *value = va_arg(args, const char *);

		if (value != nullptr)
			fprintf(stderr, " %s=%s", key, value);
	}
	va_end(args);
	fprintf(stderr, "\n");
}

extern "C" uint64_t
lg_dropped(void)
{
	return 0;
}

extern "C" const char *
lg_i64(int64_t v)
{
	static char text[64][24];
	static unsigned int next;
	char *t = text[next++ % 64];

	snprintf(t, sizeof(text[0]), "%lld", (long long)v);
	return t;
}
