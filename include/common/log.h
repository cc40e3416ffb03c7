#ifndef COMMON_LOG_H
#define COMMON_LOG_H

#include <stdint.h>

/** enum lg_level - severity, most severe first */
enum lg_level {
	LG_ERROR,
	LG_WARN,
	LG_INFO,
	LG_DEBUG,
};

/**
 * lg_init() - set up logging to standard error, or see lg_use_stdout()
 * @vm: name of this VM, added to each line
 * @domain: failure domain, added to each line
 * @level: least severe level that is written: error, warn, info, debug
 *
 * Return: 0, or -1 when the level is unknown or log4c cannot start.
 */
int lg_init(const char *vm, const char *domain, const char *level);

/** lg_dropped() - lines lost to the rate limit or to a reader that is too slow */
uint64_t lg_dropped(void);

/**
 * lg_use_stdout() - log to standard output instead; before lg_init()
 *
 * Writes never block, and lines less severe than a warning are rate-limited;
 * lg_dropped() counts the lines that were dropped.
 */
void lg_use_stdout(void);

/**
 * lg_set_module_level() - override the level of one module
 * @module: module name
 * @level: error, warn, info or debug
 *
 * Return: 0, or -1 when the level is unknown.
 */
int lg_set_module_level(const char *module, const char *level);

/**
 * lg_event() - write one line of key=value pairs
 * @level: severity
 * @module: module name
 * @event: event name
 * @...: pairs of key (char *) and value (char *), ended by NULL;
 *	values are escaped; a pair with a NULL value is left out
 */
void lg_event(enum lg_level level, const char *module, const char *event, ...)
    __attribute__((sentinel));

/**
 * lg_i64() - format an integer for lg_event()
 * @v: value
 *
 * Return: a string that is overwritten after 32 further calls on the same thread.
 */
const char *lg_i64(int64_t v);

#endif
