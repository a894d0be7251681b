#ifndef BRF_ANNOUNCE_H
#define BRF_ANNOUNCE_H

#include "node/gate.h"

BRF_BEGIN_DECLS

/**
 * brf_announce_parse() - read a target's announcement.
 * @text: JSON object with "service" (name), "port" (1 to 65535), "slots" (1
 *	to 100000), "connections" (1 to 1000000), and optionally "cold"
 *	(whether it has just started) and "heartbeat_ms" (how often it repeats
 *	the announcement, at most one minute; it is taken for gone after three
 *	without one; 0 for never)
 *
 * Return: false with BRF_E_ANNOUNCE that names the field.
 */
bool brf_announce_parse(const char *text, size_t len,
    struct brf_announcement *announcement, uint64_t *heartbeat_us,
    struct brf_error *err);

BRF_END_DECLS

#endif
