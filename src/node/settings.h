#ifndef BRF_SETTINGS_H
#define BRF_SETTINGS_H

#include <netinet/in.h>

#include "base/error.h"
#include "base/log.h"
#include "member/members.h"

/**
 * DOC: Settings of the daemon.
 *
 * Each setting has a flag and an environment variable; the flag takes
 * precedence.  Secrets are read from the environment only, since every user of
 * a VM can read the flags of a process.
 */

#define BRF_STORES_MAX 4u    /* addresses of the store */
#define BRF_SECRET_MAX 4096u /* bytes, with the NUL */

/**
 * struct brf_settings - validated settings; settings.c describes each.
 * @check_only: --check was given: the process should exit without serving
 *
 * A port of 0 lets the kernel choose.  Durations are in microseconds.
 */
struct brf_settings {
	struct in_addr address;
	uint16_t entry_port;
	uint16_t peer_port;
	uint16_t gossip_port;
	uint16_t local_port;
	uint16_t admin_port;
	char zone[BRF_NAME_MAX + 1];
	char region[BRF_NAME_MAX + 1];
	struct sockaddr_in seeds[BRF_SEEDS_MAX];
	size_t seed_count;
	struct sockaddr_in stores[BRF_STORES_MAX];
	size_t store_count;
	enum brf_log_level log_level;
	uint64_t drain_limit_us;
	uint64_t linger_us;
	uint64_t link_bytes;
	bool workspace_required;
	char ports_file[256];
	unsigned char fleet_key[64];
	size_t fleet_key_len;
	char workspace_keys[BRF_SECRET_MAX];
	char operator_key[BRF_SECRET_MAX];
	bool check_only;
};

BRF_BEGIN_DECLS

/**
 * brf_settings_read() - read the command line and the environment.
 * @done: set to whether --help or --version was printed and the process should
 *	exit
 *
 * Removes the secrets from the environment.
 *
 * Return: false if a setting is missing, invalid or unknown; the detail of @err
 * names it.
 */
bool brf_settings_read(struct brf_settings *settings, int argc, char **argv,
    bool *done, struct brf_error *err);

/* Overwrites the secrets in @settings. */
void brf_settings_wipe(struct brf_settings *settings);

BRF_END_DECLS

#endif
