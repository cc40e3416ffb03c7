#include "sim_internal.h"

namespace
{

constexpr size_t kPage = 7;

bool
has_prefix(const std::string &text, const std::string &prefix)
{
	return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace

void
SimStore::write(const SimItem &item)
{
	SimItem &it = items[item.key];

	if (it.created == 0)
		it.created = revision;
	it.key = item.key;
	it.value = item.value;
	it.lease = item.lease;
	it.revision = revision;
	history.push_back(it);
}

void
SimStore::erase(const std::string &key)
{
	SimItem gone;

	if (items.erase(key) == 0)
		return;
	gone.key = key;
	gone.revision = revision;
	gone.deleted = true;
	history.push_back(gone);
}

void
SimStore::put(const std::string &key, const std::string &value)
{
	SimItem item;

	item.key = key;
	item.value = value;
	revision++;
	write(item);
}

void
SimStore::remove(const std::string &key)
{
	if (items.count(key) == 0)
		return;
	revision++;
	erase(key);
}

SimResponse
SimStore::range(const std::string &prefix, const std::string &after)
{
	SimResponse a;

	a.revision = revision;
	for (auto &it : items) {
		if (!has_prefix(it.first, prefix) ||
		    (!after.empty() && it.first <= after))
			continue;
		if (a.items.size() == kPage) {
			a.more = true;
			break;
		}
		a.items.push_back(it.second);
	}
	return a;
}

SimResponse
SimStore::txn(const SimTxn &t)
{
	SimResponse a;
	bool holds = true;

	for (const SimItem &p : t.put) {
		if (p.lease != 0 && leases.count(p.lease) == 0) {
			a.result = KS_NO_LEASE;
			return a;
		}
	}
	for (auto &e : t.expect) {
		auto it = items.find(e.first);
		uint64_t is = it == items.end() ? 0 : it->second.revision;
		SimItem state;

		holds &= is == e.second;
		state.key = e.first;
		state.deleted = true;
		a.items.push_back(it == items.end() ? state : it->second);
	}
	if (!holds) {
		a.result = KS_CONFLICT;
		return a;
	}
	a.items.clear();
	a.revision = ++revision;
	for (const SimItem &p : t.put)
		write(p);
	for (const std::string &key : t.remove)
		erase(key);
	return a;
}

SimResponse
SimStore::grant(uint32_t ttl_ms)
{
	SimResponse a;

	a.lease = next_lease++;
	leases[a.lease] = {ttl_ms * kSimMs, w->now + ttl_ms * kSimMs};
	return a;
}

SimResponse
SimStore::renew(uint64_t lease)
{
	SimResponse a;
	auto l = leases.find(lease);

	if (l == leases.end())
		a.result = KS_NO_LEASE;
	else
		l->second.expires_us = w->now + l->second.ttl_us;
	return a;
}

SimResponse
SimStore::end(uint64_t lease)
{
	SimResponse a;
	std::vector<std::string> keys;

	if (leases.erase(lease) == 0) {
		a.result = KS_NO_LEASE;
		return a;
	}
	for (auto &it : items) {
		if (it.second.lease == lease)
			keys.push_back(it.first);
	}
	revision++;
	for (const std::string &key : keys)
		erase(key);
	return a;
}

void
SimStore::expire()
{
	std::vector<uint64_t> ended;
	int64_t passed_us = checked_us > 0 ? w->now - checked_us : 0;

	checked_us = w->now;
	for (auto &l : leases) {
		if (leases_paused)
			l.second.expires_us += passed_us;
		else if (w->now > l.second.expires_us)
			ended.push_back(l.first);
	}
	for (uint64_t lease : ended)
		end(lease);
}

std::vector<SimItem>
SimStore::changes(const std::string &prefix, uint64_t after) const
{
	std::vector<SimItem> found;

	for (const SimItem &it : history) {
		if (it.revision > after && has_prefix(it.key, prefix))
			found.push_back(it);
	}
	return found;
}

void
SimStore::compact()
{
	revision++;
	compacted = revision;
	history.clear();
}

bool
SimStore::has_history(uint64_t after) const
{
	return after >= compacted;
}
