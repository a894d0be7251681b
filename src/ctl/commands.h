#ifndef BRF_CTL_COMMANDS_H
#define BRF_CTL_COMMANDS_H

#include "ctl/ctl.h"

#define BRF_CTL_LOGS_MAX 1000 /* log files on one command line */

/* Runs a command; @args follow its name.  Returns an exit code. */
typedef int brf_ctl_run_fn(struct brf_ctl *ctl, const char **args, int count);

BRF_BEGIN_DECLS

/* pages.c */
brf_ctl_run_fn brf_ctl_status;
brf_ctl_run_fn brf_ctl_show_members;
brf_ctl_run_fn brf_ctl_services;
brf_ctl_run_fn brf_ctl_explain;

/* burn.c */
brf_ctl_run_fn brf_ctl_burn;

/* show.c */
brf_ctl_run_fn brf_ctl_config_check;
brf_ctl_run_fn brf_ctl_config_list;
brf_ctl_run_fn brf_ctl_config_get;
brf_ctl_run_fn brf_ctl_config_diff;
brf_ctl_run_fn brf_ctl_config_history;

/* put.c */
brf_ctl_run_fn brf_ctl_config_put;
brf_ctl_run_fn brf_ctl_config_delete;

/* secrets.c */
brf_ctl_run_fn brf_ctl_token;
brf_ctl_run_fn brf_ctl_key;
brf_ctl_run_fn brf_ctl_mint;

/* trace.c */
brf_ctl_run_fn brf_ctl_trace;
brf_ctl_run_fn brf_ctl_failed;

BRF_END_DECLS

#endif
