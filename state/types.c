#include <string.h>

#include "state/types.h"

static const char *const st_outcome_names[] = {
    "done", "not_run", "unknown", "pending"};
static const char *const st_class_names[] = {"urgent", "normal", "heavy"};
static const char *const st_kind_names[] = {"service", "batch", "gang"};
static const char *const st_result_names[] = {
    "none", "done", "failed", "cancelled", "unknown"};

const char *
st_outcome_name(enum st_outcome o)
{
	return st_outcome_names[o];
}

const char *
st_class_name(enum st_class c)
{
	return st_class_names[c];
}

const char *
st_kind_name(enum st_kind k)
{
	return st_kind_names[k];
}

const char *
st_result_name(enum st_result r)
{
	return st_result_names[r];
}

bool
st_class_parse(const char *name, enum st_class *c)
{
	unsigned int i;

	*c = ST_NORMAL;
	if (name == NULL)
		return true;
	for (i = 0; i < ST_CLASS_COUNT; i++) {
		if (strcmp(name, st_class_names[i]) == 0) {
			*c = (enum st_class)i;
			return true;
		}
	}
	return false;
}

bool
st_kind_parse(const char *name, enum st_kind *k)
{
	unsigned int i;

	for (i = 0; i < ST_KIND_COUNT; i++) {
		if (strcmp(name, st_kind_names[i]) == 0) {
			*k = (enum st_kind)i;
			return true;
		}
	}
	return false;
}

const char *
st_res_lacking(const struct st_res *need, const struct st_res *available)
{
	if (need->accel > available->accel)
		return "accelerators";
	if (need->mem_bytes > available->mem_bytes)
		return "memory";
	if (need->cpu_mcpu > available->cpu_mcpu)
		return "cpu";
	return NULL;
}

bool
st_res_fits(const struct st_res *need, const struct st_res *available)
{
	return st_res_lacking(need, available) == NULL;
}

bool
st_res_equal(const struct st_res *a, const struct st_res *b)
{
	return a->cpu_mcpu == b->cpu_mcpu && a->mem_bytes == b->mem_bytes &&
	    a->accel == b->accel;
}

void
st_res_add(struct st_res *a, const struct st_res *b)
{
	a->cpu_mcpu += b->cpu_mcpu;
	a->mem_bytes += b->mem_bytes;
	a->accel += b->accel;
}

void
st_res_max(struct st_res *a, const struct st_res *b)
{
	if (b->cpu_mcpu > a->cpu_mcpu)
		a->cpu_mcpu = b->cpu_mcpu;
	if (b->mem_bytes > a->mem_bytes)
		a->mem_bytes = b->mem_bytes;
	if (b->accel > a->accel)
		a->accel = b->accel;
}

void
st_res_sub(struct st_res *a, const struct st_res *b)
{
	a->cpu_mcpu -= b->cpu_mcpu;
	a->mem_bytes -= b->mem_bytes;
	a->accel -= b->accel;
}

static uint64_t
st_fit_count(int64_t available, int64_t need, uint64_t limit)
{
	uint64_t n;

	if (need <= 0)
		return limit;
	n = available > 0 ? (uint64_t)(available / need) : 0;
	return n < limit ? n : limit;
}

uint64_t
st_res_count(const struct st_res *available, const struct st_res *need)
{
	uint64_t n = UINT32_MAX;

	n = st_fit_count(available->cpu_mcpu, need->cpu_mcpu, n);
	n = st_fit_count(available->mem_bytes, need->mem_bytes, n);
	return st_fit_count(available->accel, need->accel, n);
}
