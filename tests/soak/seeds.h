#ifndef TESTS_SOAK_SEEDS_H
#define TESTS_SOAK_SEEDS_H

#include <cstdio>
#include <cstdlib>
#include <vector>

inline int
number_from(const char *name, int fallback)
{
	const char *text = getenv(name);

	return text != nullptr ? atoi(text) : fallback;
}

/* SOAK_SEEDS="FIRST-LAST", or the list. */
inline std::vector<int>
seeds_or(std::vector<int> list)
{
	const char *text = getenv("SOAK_SEEDS");
	int first = 0;
	int last = -1;

	if (text == nullptr || sscanf(text, "%d-%d", &first, &last) != 2)
		return list;
	list.clear();
	for (int seed = first; seed <= last; seed++)
		list.push_back(seed);
	return list;
}

#endif
