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

/* Least length of ids, labels and tickets: no page limits them. */
inline size_t
text_bytes_of(int seed)
{
	const size_t lengths[] = {0, 63, 64, 200, 4000};

	return lengths[seed % 5];
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
