#ifndef BRF_ANNOUNCE_H
#define BRF_ANNOUNCE_H

#include "node/gate.h"

BRF_BEGIN_DECLS

/**
 * brf_announce_parse() - parse a target's announcement.
 * @text: JSON object with "service" (name), "port" (1 to 65535), "slots" (1
 *	to 100000), "connections" (1 to 1000000), and optionally "cold"
 *	(whether the target has just started) and "heartbeat_ms" (period in
 *	which the target repeats the announcement, at most one minute; without
 *	one for three periods, the target is withdrawn; 0, the default, for no
 *	heartbeat)
 * @heartbeat_us: filled with the heartbeat's period, microseconds; 0 for none
 *
 * Return: false with BRF_E_ANNOUNCE if @text is not valid; the detail of @err
 * names the field.
 */
bool brf_announce_parse(const char *text, size_t len,
    struct brf_announcement *announcement, uint64_t *heartbeat_us,
    struct brf_error *err);

BRF_END_DECLS

#endif
