#include "bulrushford.h"
int
main(void)
{
	return (BRF_EXIT_FAILED);
}
