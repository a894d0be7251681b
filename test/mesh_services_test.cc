#include <gtest/gtest.h>

#include <string>

#include "mesh/services.h"

/* If two services shared a bit, nested calls would be taken for root requests,
 * since a gate tells them apart by the services that send them. */
TEST(mesh_services, each_service_has_a_bit_of_its_own)
{
	struct brf_mesh_services_config config = {};
	struct brf_mesh_services s;
	uint64_t all = 0;

	brf_mesh_services_init(&s, &config);
	for (int i = 0; i < 64; i++) {
		const std::string name = "service-" + std::to_string(i);
		uint64_t bit = brf_mesh_service_get(&s, name.c_str())->bit;

		EXPECT_EQ(all & bit, 0u) << i;
		EXPECT_EQ(brf_mesh_service_bit(&s, name.c_str()), bit);
		all |= bit;
	}
	EXPECT_EQ(brf_mesh_service_bit(&s, "unknown"), 0u);
	brf_mesh_services_finish(&s);
}
